package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/overload"
)

// Runs that fail end before they have made their calls. Learning from them made an overloaded service look
// cheaper to call, so more was admitted, and the overload stayed for as long as it was watched.
func TestFailingRunsArentLearnedFrom(t *testing.T) {
	c := qt.New(t)
	var s trafficStats
	s.init()
	inner := func(string) bool { return true }
	now := time.Unix(1_000_000, 0)
	s.sample(now, inner)
	step := func(good int) bool {
		for i := range 10 {
			s.begin(now, "r")
			s.end(now.Add(50*time.Millisecond), "r", 50*time.Millisecond, true, i < good)
		}
		now = now.Add(100 * time.Millisecond)
		_, fair := s.sample(now, inner)
		return fair
	}
	c.Assert(step(10), qt.IsTrue)
	c.Assert(step(9), qt.IsTrue)
	c.Assert(step(5), qt.IsFalse)
	c.Assert(step(10), qt.IsTrue)
}

func TestAdmissionTellsThoseWhoComeBackFromFirstAttempts(t *testing.T) {
	c := qt.New(t)
	var s trafficStats
	s.init()
	now := time.Unix(1_000_000, 0)
	share := overload.Share{Fresh: 0.5, Returning: 0}
	admitted := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		ok, returning := s.admit(now, "r", 5*time.Second, share)
		c.Assert(returning, qt.IsFalse)
		if ok {
			admitted++
		}
	}
	c.Assert(admitted >= 50 && admitted <= 51, qt.IsTrue, qt.Commentf("%d", admitted))
	_, returning := s.admit(now, "r", 4*time.Second, share)
	c.Assert(returning, qt.IsTrue)
	r := s.report(now)
	c.Assert(r.Entries["r"].Fresh > 80, qt.IsTrue, qt.Commentf("%v", r.Entries))
}
