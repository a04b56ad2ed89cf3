package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/gate"
)

// Guards against learning from failed runs, which end before they have made all their calls. That made an overloaded service
// look cheaper to call, so more was admitted, and the overload persisted.
func TestFailingRunsArentLearnedFrom(t *testing.T) {
	c := qt.New(t)
	var s trafficStats
	s.init()
	now := time.Unix(1_000_000, 0)
	step := func(good int) float64 {
		for i := range 10 {
			end := now.Add(time.Second)
			run := s.beginRun(now, "r", end)
			s.noteCall(now, "call", end)
			outcome := gate.Failed
			if i < good {
				s.noteCall(now, "call", end)
				outcome = gate.Answered
			}
			now = now.Add(10 * time.Millisecond)
			s.endRun(now, "r", run, 10*time.Millisecond, outcome)
		}
		s.updateLearner(now)
		return s.callsPerRun("r")["call"]
	}
	for range 20 {
		c.Assert(step(10), qt.Equals, 2.0)
	}
	for range 20 {
		c.Assert(step(1), qt.Equals, 2.0)
	}
	c.Assert(step(0), qt.Equals, 2.0)
}
