package loads

import (
	"maps"
	"time"
)

// The times in which the demand from before a loss of all nodes gives way to what is counted since.
const (
	// countingDelay after requests are first reported, the reports of most nodes have arrived; until then the earlier demand
	// counts in full.
	countingDelay = 400 * time.Millisecond
	// fadeTime is the time in which the earlier demand fades after that: rates are counted over half a second, and reports take
	// some tenths of a second to reach all nodes.
	fadeTime = 600 * time.Millisecond
)

// RetainedDemand is the demand in first attempts a second by kind from before this process started. It stands in for the
// first second, in which no node can have counted requests: after a loss of all nodes in a lasting overload, everything
// was admitted for 0.9 s, which the smallest service needed 3 s to work off. Its zero value holds no demand.
type RetainedDemand struct {
	rates       map[string]float64
	firstReport time.Time // when requests were first reported
}

// Restore adds the stored demand of some kinds; of several values for a kind the highest counts.
func (k *RetainedDemand) Restore(rates map[string]float64) {
	if k.rates == nil {
		k.rates = make(map[string]float64, len(rates))
	}
	for route, rate := range rates {
		k.rates[route] = max(k.rates[route], rate)
	}
}

// MarkReported notes that reports list requests at now; only the first call has an effect.
func (k *RetainedDemand) MarkReported(now time.Time) {
	if k.firstReport.IsZero() {
		k.firstReport = now
	}
}

// Uncounted returns the demand by kind that can't have been counted yet.
func (k *RetainedDemand) Uncounted(now time.Time) map[string]float64 {
	fraction := k.uncountedFraction(now)
	if fraction <= 0 {
		k.rates = nil
		return nil
	}
	uncounted := maps.Clone(k.rates)
	for route := range uncounted {
		uncounted[route] *= fraction
	}
	return uncounted
}

// uncountedFraction returns the fraction of the demand that can't have been counted yet, 0 or less once all has.
func (k *RetainedDemand) uncountedFraction(now time.Time) float64 {
	if k.firstReport.IsZero() {
		return 1
	}
	return min(1-float64(now.Sub(k.firstReport)-countingDelay)/float64(fadeTime), 1)
}
