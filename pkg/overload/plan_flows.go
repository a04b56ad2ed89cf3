package overload

import (
	"cmp"
	"slices"
)

// flow is the first or the returning attempts of a kind.
type flow struct {
	root      *KindDemand
	returning bool
	whole     float64 // attempts a second
	rate      float64 // of those, what isn't granted yet
}

// flowsOf returns all flows, the first to be admitted first.
func flowsOf(roots []KindDemand) []flow {
	var flows []flow
	for i := range roots {
		r := &roots[i]
		flows = append(flows, flow{r, false, r.Fresh, r.Fresh}, flow{r, true, r.Returning, r.Returning})
	}
	slices.SortStableFunc(flows, func(a, b flow) int {
		return cmp.Or(cmp.Compare(a.root.Priority, b.root.Priority), boolOrder(a.returning, b.returning))
	})
	return flows
}

// firstRank returns how many flows have the rank of the first.
func firstRank(flows []flow) int {
	n := 1
	for n < len(flows) && sameRank(flows[n], flows[0]) {
		n++
	}
	return n
}

func sameRank(a, b flow) bool {
	return a.root.Priority == b.root.Priority && a.returning == b.returning
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// grant gives a flow a share of what isn't granted yet.
func grant(f flow, share float64, left map[string]float64, out map[string]Share) {
	o := out[f.root.Kind]
	part := share
	if f.whole > 0 {
		part = share * f.rate / f.whole
	}
	if f.returning {
		o.Returning = min(o.Returning+part, 1)
	} else {
		o.Fresh = min(o.Fresh+part, 1)
	}
	out[f.root.Kind] = o
	for s, cost := range f.root.SlotSeconds {
		if _, known := left[s]; known {
			left[s] -= f.rate * share * cost
		}
	}
}
