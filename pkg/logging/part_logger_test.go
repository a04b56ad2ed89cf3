package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

func TestEachPartHasItsPrefixAndLevel(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	f := Factory{W: &b, Levels: Levels{All: "info", Parts: map[string]string{"peer": "error"}}, Clock: clock.NewManual(time.Unix(0, 0))}
	f.Logger("call").Info("served")
	f.Logger("call").Debug("hidden")
	f.Logger("peer").Warn("hidden")
	f.Logger("peer").With("vm", "a").Error("broken")
	c.Assert(strings.Count(b.String(), "\n"), qt.Equals, 2, qt.Commentf("%s", &b))
	c.Assert(b.String(), qt.Contains, `msg="call: served"`)
	c.Assert(b.String(), qt.Contains, `msg="peer: broken" vm=a`)
}

func TestDroppedRepeatsAreCounted(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	clk := clock.NewManual(time.Unix(0, 0))
	log := Factory{W: &b, Clock: clk}.Logger("call")
	for range 5 {
		log.Info("same")
	}
	clk.Advance(repeatPeriod)
	log.Info("same")
	c.Assert(strings.Count(b.String(), "\n"), qt.Equals, 2)
	c.Assert(b.String(), qt.Contains, "repeated=4")
}

func TestManualClockFiresTickers(t *testing.T) {
	c := qt.New(t)
	clk := clock.NewManual(time.Unix(0, 0))
	ticks, stop := clk.NewTicker(time.Second)
	clk.Advance(999 * time.Millisecond)
	c.Assert(len(ticks), qt.Equals, 0)
	clk.Advance(time.Millisecond)
	c.Assert(<-ticks, qt.Equals, time.Unix(1, 0))
	stop()
	clk.Advance(time.Minute)
	c.Assert(len(ticks), qt.Equals, 0)
}
