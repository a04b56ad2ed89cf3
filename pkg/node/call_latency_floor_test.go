package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowFirstAnswersDoNotRefuseLaterCalls guards against a latency floor that keeps out the very calls that would lower it.
func TestSlowFirstAnswersDoNotRefuseLaterCalls(t *testing.T) {
	const (
		route   = "back/reads"
		latency = 10 * time.Millisecond
		period  = 20 * time.Millisecond
		left    = 2 * time.Second
	)
	var floors latencyFloorTable
	now := time.Unix(1000, 0)
	for range 20 { // of calls that waited for the same connection
		floors.observe(now, route, 3*time.Second)
	}
	refused := 0
	for range int(10 * time.Second / period) {
		if _, late := floors.tooLate(now, route, left); late {
			refused++
		} else {
			floors.observe(now.Add(latency), route, latency)
		}
		now = now.Add(period)
	}
	qt.Assert(t, refused <= 1, qt.IsTrue, qt.Commentf("%d calls refused", refused))
}

// TestCallsBelowTheLatencyFloorAreRefused guards against work that can't be answered in time.
func TestCallsBelowTheLatencyFloorAreRefused(t *testing.T) {
	c := qt.New(t)
	const route = "back/reads"
	var floors latencyFloorTable
	now := time.Unix(1000, 0)
	_, late := floors.tooLate(now, route, 0)
	c.Assert(late, qt.IsTrue)
	_, late = floors.tooLate(now, route, time.Millisecond)
	c.Assert(late, qt.IsFalse)
	passed := 0
	for range 10_000 {
		if _, late := floors.tooLate(now, route, time.Second); !late {
			passed++
		}
		floors.observe(now, route, 2*time.Second)
		now = now.Add(time.Millisecond)
	}
	c.Assert(passed <= 6, qt.IsTrue, qt.Commentf("%d of 10,000 calls passed in 10 s", passed))
}
