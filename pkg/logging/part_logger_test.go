package logging

import (
	"bytes"
	"regexp"
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

// Guards against lines that are missing, or counted twice, where IsLimited is asked first.
func TestIsLimitedChangesNoLines(t *testing.T) {
	c := qt.New(t)
	var texts [2]bytes.Buffer
	for i := range texts {
		clk := clock.NewManual(time.Unix(0, 0))
		log := Factory{W: &texts[i], Clock: clk, PerSecond: 2}.Logger("call")
		for k := range 30 {
			if i == 0 || !IsLimited(log, "refused") {
				log.Info("refused", "k", k)
			}
			clk.Advance(repeatPeriod / 8)
		}
	}
	withoutTime := func(b *bytes.Buffer) string { return regexp.MustCompile(`time=\S+`).ReplaceAllString(b.String(), "") }
	c.Assert(withoutTime(&texts[1]), qt.Equals, withoutTime(&texts[0]))
	c.Assert(strings.Count(texts[1].String(), "\n"), qt.Equals, 8)
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
