package callgraph

import (
	"math"
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
func (c *callStats) updateRates() {
	c.attributeRecent()
	average := c.averageRate()
	for _, k := range c.callers {
		runSeconds := k.stats.windowSeconds
		running := max(runSeconds/window.Seconds(), 1)
		chance := chanceCallsFactor * math.Sqrt(float64(len(c.recent))*running)
		rate := (k.expected.sameDeadline + max(k.expected.laterDeadline-chance, 0)) / (runSeconds + priorRunSeconds)
		k.rate = max(rate, average*minRateShare, math.SmallestNonzeroFloat32)
	}
}

// attributeRecent sets how many of the recent calls each route's runs have made by the current rates.
func (c *callStats) attributeRecent() {
	for _, k := range c.callers {
		k.expected = candidates{}
	}
	all := c.recentRuns
	for _, r := range c.recent {
		runs := all[:r.callers]
		all = all[r.callers:]
		sum := 0.0
		for i := range runs {
			sum += runs[i].total() * runs[i].caller.rate
		}
		for i := range runs {
			k := runs[i].caller
			share := k.rate / sum
			k.expected.sameDeadline += runs[i].sameDeadline * share
			k.expected.laterDeadline += runs[i].laterDeadline * share
		}
	}
}

// averageRate returns the calls a second of one run in progress, averaged over all runs.
func (c *callStats) averageRate() float64 {
	all := priorRunSeconds
	for _, k := range c.callers {
		all += k.stats.windowSeconds
	}
	return float64(len(c.recent)) / all
}

// dropBefore drops the recent calls from before a time.
func (c *callStats) dropBefore(before time.Time) {
	calls, runs := c.recent, c.recentRuns
	c.recent, c.recentRuns, c.longestLeft = calls[:0], runs[:0], 0
	for _, r := range calls {
		if !r.at.Before(before) {
			c.recent = append(c.recent, r)
			c.recentRuns = append(c.recentRuns, runs[:r.callers]...)
			c.longestLeft = max(c.longestLeft, r.left)
		}
		runs = runs[r.callers:]
	}
}
