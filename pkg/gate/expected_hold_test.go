package gate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// While a server tells a slow pace its gate refuses what can't end there in time, and accepts it again once the pace is old.
func TestToldPaceDecidesWhatCanEndInTime(t *testing.T) {
	c := qt.New(t)
	var g Gate
	g.Open(10, true)
	ticket := func(now time.Time, callShare float64) *Ticket {
		return &Ticket{TypicalHold: 100 * time.Millisecond, CallShare: callShare, Deadline: now.Add(100 * time.Millisecond), Notify: func(Decision) {}}
	}
	start := func(now time.Time, callShare float64) Decision { return g.Submit(now, ticket(now, callShare)) }
	c.Assert(start(begin, 0).Start, qt.IsTrue)
	g.SetPace(begin, 2.5)
	c.Assert(g.Snapshot().Slowdown, qt.Equals, 2.5)
	c.Assert(start(begin, 0).Reason, qt.Equals, wire.ReasonDeadline)
	c.Assert(start(begin, 0.9).Start, qt.IsTrue, qt.Commentf("it mostly waits for its calls"))
	c.Assert(start(begin.Add(time.Second), 0).Start, qt.IsTrue)
	g.Open(10, true)
	c.Assert(g.Snapshot().ToldPace, qt.Equals, 0.0, qt.Commentf("of the next lifetime"))
}

// A server that tells no pace is judged as before there was one.
func TestSlowdownWithoutAToldPace(t *testing.T) {
	c := qt.New(t)
	var g Gate
	g.Open(10, true)
	slowdown := 1.0
	for i := range 200 {
		held := time.Duration(50+i%7*40) * time.Millisecond
		g.running++
		g.Finish(begin, held, 100*time.Millisecond, Answered)
		slowdown += slowdownWeight * (float64(held)/1e8 - slowdown)
		c.Assert(g.Snapshot().Slowdown, qt.Equals, slowdown)
		c.Assert(g.Snapshot().MeanSlowdown, qt.Equals, slowdown)
		c.Assert(g.expectedHold(&Ticket{TypicalHold: time.Second}), qt.Equals, time.Duration(float64(time.Second)*slowdown))
	}
}
