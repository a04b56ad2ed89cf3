package callgraph

import (
	"math"
	"slices"
	"time"
)

// Parameters of the estimation of rates.
const (
	// priorRunSeconds is the time in progress, in seconds, that is added to dampen rates of little evidence.
	priorRunSeconds = 0.05
	// chanceCallsFactor times the square root of the product of recent calls and the route's runs in progress is the number of
	// calls that may be attributed to a route by chance, where time limits don't decide.
	chanceCallsFactor = 0.7
	// minRateShare is the lowest rate of a route whose runs seem to make no calls, as a share of the average. The rate takes
	// some seconds to grow from there: until then a change of speed below isn't taken for a new caller.
	minRateShare = 1e-6
)

// updateRates attributes the recent calls by the current rates, and computes new rates from that.
func (c *callStats) updateRates(runSeconds map[*routeStats]float64) {
	expected := c.expectedCalls()
	average := c.averageRate(runSeconds)
	for s, k := range c.callers {
		running := max(runSeconds[s]/window.Seconds(), 1)
		chance := chanceCallsFactor * math.Sqrt(float64(len(c.recent))*running)
		rate := (expected[s].sameDeadline + max(expected[s].laterDeadline-chance, 0)) / (runSeconds[s] + priorRunSeconds)
		k.rate = max(rate, average*minRateShare, math.SmallestNonzeroFloat32)
	}
}

// expectedCalls returns how many of the recent calls each route's runs have made by the current rates.
func (c *callStats) expectedCalls() map[*routeStats]candidates {
	expected := map[*routeStats]candidates{}
	for _, r := range c.recent {
		sum := 0.0
		for s, w := range r.possibleCallers {
			sum += w.total() * c.caller(s).rate
		}
		for s, w := range r.possibleCallers {
			m := expected[s]
			m.sameDeadline += w.sameDeadline * c.caller(s).rate / sum
			m.laterDeadline += w.laterDeadline * c.caller(s).rate / sum
			expected[s] = m
		}
	}
	return expected
}

// averageRate returns the calls a second of one run in progress, averaged over all runs.
func (c *callStats) averageRate(runSeconds map[*routeStats]float64) float64 {
	all := priorRunSeconds
	for s := range c.callers {
		all += runSeconds[s]
	}
	return float64(len(c.recent)) / all
}

// dropBefore drops the recent calls from before a time.
func (c *callStats) dropBefore(before time.Time) {
	c.recent = slices.DeleteFunc(c.recent, func(r recentCall) bool { return r.at.Before(before) })
	c.longestLeft = 0
	for _, r := range c.recent {
		c.longestLeft = max(c.longestLeft, r.left)
	}
}
