package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against overestimated ages: after a route's timeout was lowered, all its calls looked seconds older than they were,
// and went before those of other routes until the process ended.
func TestCallsDontLookOldAfterTheirLimitWasLowered(t *testing.T) {
	c := qt.New(t)
	var s trafficStats
	s.init()
	now := time.Unix(1_000_000, 0)
	age := func(left time.Duration) time.Duration { return s.callAge(now, "r", left) }
	c.Assert(age(3*time.Second), qt.Equals, time.Duration(0))
	now = now.Add(time.Second)
	c.Assert(age(2*time.Second), qt.Equals, time.Second)
	for range 2 {
		now = now.Add(recentMaxWindow)
		age(700 * time.Millisecond)
	}
	c.Assert(age(500*time.Millisecond), qt.Equals, 200*time.Millisecond)
}
