package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A bucket that is owned before FillOnceAt is full from then on, once. One that is owned later, or in a system that has run before, starts empty.
func TestBucketsAreFullOnceAfterTheFirstStart(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	l := Limit{Rate: 2, Burst: 2}
	rules := Config{Window: 5 * time.Second, Excess: 0.1, Slack: 20, Zones: 3}
	depth := int(rules.depth(l))
	grants := func(o *Owner, now time.Time) int { return o.Grant(now, "team", l, 100, false).Tokens }
	owned := func(since, full time.Time) *Owner {
		o := &Owner{Config: rules, FillOnceAt: full}
		o.UpdateOwnership(since, func(int) bool { return true }, 1, 0, map[string]Limit{"team": l})
		return o
	}
	full := start.Add(SettleTime)
	o := owned(start, full)
	c.Assert(grants(o, start), qt.Equals, 0)
	first := 0
	for g := grants(o, full); g > 0; g = grants(o, full) {
		first += g
	}
	c.Assert(first, qt.Equals, depth)
	c.Assert(grants(o, full), qt.Equals, 0)
	c.Assert(grants(owned(full, full), full), qt.Equals, 0)
	c.Assert(grants(owned(start, time.Time{}), start), qt.Equals, 0)
}
