package overload

import (
	"cmp"
	"slices"
)

// Root is one kind of root request.
type Root struct {
	Route     string
	Priority  int     // 0 is the most urgent
	Fresh     float64 // first attempts a second, in the whole system
	Returning float64 // attempts a second of clients that were refused before
	Slots     map[string]float64
}

// Share is the part of a kind that is admitted.
type Share struct {
	Fresh     float64
	Returning float64
}

// Target is the share of a service's capacity that admission fills: servers are chosen with news that is
// a little old, so a full one beside an idle one has to be allowed for.
const Target = 0.95

// flow is the first or the returning attempts of a kind.
type flow struct {
	root      *Root
	returning bool
	rate      float64
}

// Plan returns the share of each kind that fits into the services' capacity, in slots.
func Plan(roots []Root, capacity map[string]float64) map[string]Share {
	left := make(map[string]float64, len(capacity))
	for s, c := range capacity {
		left[s] = c * Target
	}
	out := make(map[string]Share, len(roots))
	flows := flowsOf(roots)
	for len(flows) > 0 {
		n := 1
		for n < len(flows) && sameRank(flows[n], flows[0]) {
			n++
		}
		fill(flows[:n], left, out)
		flows = flows[n:]
	}
	return out
}

// flowsOf returns all flows, the first to be admitted first.
func flowsOf(roots []Root) []flow {
	var flows []flow
	for i := range roots {
		r := &roots[i]
		flows = append(flows, flow{r, false, r.Fresh}, flow{r, true, r.Returning})
	}
	slices.SortStableFunc(flows, func(a, b flow) int {
		return cmp.Or(cmp.Compare(a.root.Priority, b.root.Priority), boolOrder(a.returning, b.returning))
	})
	return flows
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

// cheapShare of what the dearest flow takes of the tightest service is what another flow takes at most to
// be let through before it: holding it down would free next to nothing there.
const cheapShare = 0.35

// fill gives flows of one rank their shares: each flow gets that of the tightest service below it, and what
// one flow leaves over, since it is held down elsewhere, goes to the others. Flows that take little of that
// service go first.
func fill(flows []flow, left map[string]float64, out map[string]Share) {
	open := slices.Clone(flows)
	for len(open) > 0 {
		service, share := tightest(open, left)
		if cheap, dear := splitByCost(open, service); len(cheap) > 0 {
			fill(cheap, left, out)
			open = dear
			continue
		}
		var rest []flow
		for _, f := range open {
			if service != "" && f.root.Slots[service] == 0 {
				rest = append(rest, f)
				continue
			}
			grant(f, share, left, out)
		}
		open = rest
	}
}

// splitByCost returns the flows that take little of the service, though something, and the others.
func splitByCost(flows []flow, service string) (cheap, dear []flow) {
	most := 0.0
	for _, f := range flows {
		most = max(most, f.root.Slots[service])
	}
	for _, f := range flows {
		if cost := f.root.Slots[service]; cost > 0 && cost < cheapShare*most {
			cheap = append(cheap, f)
		} else {
			dear = append(dear, f)
		}
	}
	return cheap, dear
}

// tightest returns the service that allows the least share of the flows, or "" with 1 if all fit.
func tightest(flows []flow, left map[string]float64) (string, float64) {
	demand := map[string]float64{}
	for _, f := range flows {
		for s, cost := range f.root.Slots {
			demand[s] += f.rate * cost
		}
	}
	service, least := "", 1.0
	for s, d := range demand {
		room, known := left[s]
		if !known || d <= 0 {
			continue
		}
		if share := max(room, 0) / d; share < least || (share == least && service != "" && s < service) {
			service, least = s, share
		}
	}
	return service, least
}

func grant(f flow, share float64, left map[string]float64, out map[string]Share) {
	o := out[f.root.Route]
	if f.returning {
		o.Returning = share
	} else {
		o.Fresh = share
	}
	out[f.root.Route] = o
	for s, cost := range f.root.Slots {
		left[s] -= f.rate * share * cost
	}
}
