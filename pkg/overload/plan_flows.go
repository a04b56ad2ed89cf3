package overload

import (
	"cmp"
	"slices"
)

// flow is the first attempts of a kind, or its clients' retries.
type flow struct {
	kind      *KindDemand
	returning bool
	demand    float64 // all attempts a second
	ungranted float64 // attempts a second without a granted share yet
}

// flowsByRank returns the flows of all kinds in the order in which they are admitted.
func flowsByRank(roots []KindDemand) []flow {
	var flows []flow
	for i := range roots {
		r := &roots[i]
		flows = append(flows, flow{r, false, r.Fresh, r.Fresh}, flow{r, true, r.Returning, r.Returning})
	}
	slices.SortStableFunc(flows, func(a, b flow) int {
		return cmp.Or(cmp.Compare(a.kind.Priority, b.kind.Priority), compareBool(a.returning, b.returning))
	})
	return flows
}

// firstRankLen returns how many flows share the rank of the first one.
func firstRankLen(flows []flow) int {
	n := 1
	for n < len(flows) && sameRank(flows[n], flows[0]) {
		n++
	}
	return n
}

func sameRank(a, b flow) bool {
	return a.kind.Priority == b.kind.Priority && a.returning == b.returning
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// grant admits a share of the flow's ungranted rate: it adds to the result in out and takes the slots from left.
func grant(f flow, share float64, left map[string]float64, out map[string]Share) {
	o := out[f.kind.Kind]
	part := share
	if f.demand > 0 {
		part = share * f.ungranted / f.demand
	}
	if f.returning {
		o.Returning = min(o.Returning+part, 1)
	} else {
		o.Fresh = min(o.Fresh+part, 1)
	}
	out[f.kind.Kind] = o
	for s, cost := range f.kind.SlotSeconds {
		if _, known := left[s]; known {
			left[s] -= f.ungranted * share * cost
		}
	}
}
