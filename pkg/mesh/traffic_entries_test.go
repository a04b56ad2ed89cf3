package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/overload"
)

func TestAdmissionDistinguishesRetriesFromFirstAttempts(t *testing.T) {
	c := qt.New(t)
	var s trafficStats
	s.init()
	now := time.Unix(1_000_000, 0)
	share := overload.Share{Fresh: 0.5, Returning: 0}
	admitted := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		ok, returning := s.admit(now, "r", "", 5*time.Second, share)
		c.Assert(returning, qt.IsFalse)
		if ok {
			admitted++
		}
	}
	c.Assert(admitted >= 50 && admitted <= 51, qt.IsTrue, qt.Commentf("%d", admitted))
	_, returning := s.admit(now, "r", "", 4*time.Second, share)
	c.Assert(returning, qt.IsTrue)
	r := s.report(now)
	c.Assert(r.Entries["r"].Fresh > 80, qt.IsTrue, qt.Commentf("%v", r.Entries))
}
