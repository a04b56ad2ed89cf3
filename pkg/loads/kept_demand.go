package loads

import (
	"maps"
	"time"
)

// The times in which the demand from before a loss of all nodes gives way to what is counted since.
const (
	// countedFrom after requests are first reported the reports of most nodes are at hand; until then what was asked
	// before the loss counts in full.
	countedFrom = 400 * time.Millisecond
	// countedSpan is the time in which it fades from there: rates are counted over half a second, and reports take some
	// tenths of a second to reach all.
	countedSpan = 600 * time.Millisecond
)

// RetainedDemand is how many first attempts a second of each kind were asked for before this process started, for the second
// in which nobody can have counted them: after a loss of all nodes in an overload that lasts, all was taken in for
// 0.9 s, which the smallest service needed 3 s to work off. Its zero value knows of none.
type RetainedDemand struct {
	asked map[string]float64
	first time.Time // when requests were first reported
}

// Restore takes the demand of some kinds; of one that several services tell of the most counts.
func (k *RetainedDemand) Restore(asked map[string]float64) {
	if k.asked == nil {
		k.asked = make(map[string]float64, len(asked))
	}
	for route, rate := range asked {
		k.asked[route] = max(k.asked[route], rate)
	}
}

// MarkReported notes that requests are reported now.
func (k *RetainedDemand) MarkReported(now time.Time) {
	if k.first.IsZero() {
		k.first = now
	}
}

// Uncounted returns the demand by kind that can't have been counted yet.
func (k *RetainedDemand) Uncounted(now time.Time) map[string]float64 {
	part := k.part(now)
	if part <= 0 {
		k.asked = nil
		return nil
	}
	missing := maps.Clone(k.asked)
	for route := range missing {
		missing[route] *= part
	}
	return missing
}

// part returns the part of the demand that can't have been counted yet.
func (k *RetainedDemand) part(now time.Time) float64 {
	if k.first.IsZero() {
		return 1
	}
	return min(1-float64(now.Sub(k.first)-countedFrom)/float64(countedSpan), 1)
}
