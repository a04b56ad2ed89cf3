package mesh

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Guards against losses that count twice, at a call and at the route that makes it, and against calls that count as lost
// because their caller left.
func TestALossCountsAtItsOwnHop(t *testing.T) {
	c := qt.New(t)
	n := &Node{clock: clock.Real{}}
	later := time.Now().Add(time.Minute)
	lost := func(route string, deadline time.Time, a *answer) bool {
		return n.lostAtOwnHop(&request{peerCall: peerCall{Route: route}, deadline: deadline}, a)
	}
	failed := &answer{outcome: wire.Ran, status: http.StatusInternalServerError}
	canceled := unknownAnswer(wire.ReasonDeadline)
	canceled.canceled = true
	c.Assert(lost("leaf", later, failed), qt.IsFalse, qt.Commentf("its calls aren't known"))
	n.plan.Store(&admissionPlan{runsPerRequest: map[string]map[string]float64{"leaf": {"low": 1}, "caller": {"mid": 1, "low": 0.4}}})
	c.Assert(lost("leaf", later, failed), qt.IsTrue)
	c.Assert(lost("leaf", later, &answer{outcome: wire.Ran, status: http.StatusNotFound}), qt.IsFalse)
	c.Assert(lost("caller", later, failed), qt.IsFalse)
	c.Assert(lost("caller", later, notRunAnswer(wire.ReasonQueue)), qt.IsTrue)
	c.Assert(lost("caller", later, notRunAnswer(wire.ReasonQuarantined)), qt.IsFalse)
	c.Assert(lost("caller", later, unknownAnswer(wire.ReasonAnswerLost)), qt.IsTrue)
	c.Assert(lost("leaf", time.Now(), canceled), qt.IsTrue)
	c.Assert(lost("leaf", later, canceled), qt.IsFalse, qt.Commentf("its caller left"))
	c.Assert(lost("caller", time.Now(), canceled), qt.IsFalse, qt.Commentf("a call of it may have been late"))
}

// Guards against losses that don't reach the plan.
func TestLossesReachTheReport(t *testing.T) {
	c := qt.New(t)
	var s trafficStats
	s.init()
	now := time.Unix(100, 0)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		s.entry("call").firstAttempts.Add(now, 1)
		s.noteLost(now, "call")
	}
	e := s.report(now).Entries["call"]
	c.Assert(e.LostPerSecond() > 50, qt.IsTrue, qt.Commentf("%v", e))
}
