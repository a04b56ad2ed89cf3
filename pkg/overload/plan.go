package overload

import (
	"cmp"
	"maps"
	"math"
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

// Target is the share of a service's capacity that admission fills. More than all of it, since some requests fail
// before they have made all of their calls, and since a gate that turns requests away says so (RoomControl): scale-1 and
// scale-2 of vft-accra earned 0.327 and 0.434 at 0.95, 0.334 and 0.470 at 1.0, 0.346 and 0.476 at 1.15 (one run each).
const Target = 1.1

// flow is the first or the returning attempts of a kind.
type flow struct {
	root      *Root
	returning bool
	whole     float64 // attempts a second
	rate      float64 // of those, what isn't granted yet
}

// Plan returns the share of each kind that fits into the services' capacity, in slots.
func Plan(roots []Root, capacity map[string]float64) map[string]Share {
	left := make(map[string]float64, len(capacity))
	for s, c := range capacity {
		left[s] = c * Target
	}
	out := make(map[string]Share, len(roots))
	flows := flowsOf(roots)
	grantLeast(flows, left, out)
	for len(flows) > 0 {
		n := 1
		for n < len(flows) && sameRank(flows[n], flows[0]) {
			n++
		}
		keepOrder(flows[:n], roots, out)
		fill(flows[:n], left, out)
		flows = flows[n:]
	}
	return out
}

// orderMargin is how much more of a less urgent kind may be let in than of a more urgent one with which it shares a
// service: five in a hundred are the users' bound.
const orderMargin = 0.05

// keepOrder holds kinds down to what is let in of more urgent ones that share a service with them, also if that
// one isn't the tight one: while urgent work is refused, less urgent work is refused as well. Who is refused for that
// isn't let in when he comes back.
func keepOrder(flows []flow, roots []Root, out map[string]Share) {
	for i := range flows {
		f := &flows[i]
		most := f.root.mostByOrder(roots, out)
		switch granted := f.whole - f.rate; {
		case most >= 1:
		case f.returning:
			f.rate = 0
		default:
			f.rate = min(f.rate, max(most*f.whole-granted, 0))
		}
	}
}

// mostByOrder returns the largest share of a kind by what is let in of more urgent ones.
func (r *Root) mostByOrder(roots []Root, out map[string]Share) float64 {
	most := 1.0
	for i := range roots {
		if u := &roots[i]; u.Priority < r.Priority && u.Fresh > 0 && u.sharesWith(r) {
			most = min(most, out[u.Route].Fresh+orderMargin)
		}
	}
	return most
}

// sharesWith tells whether requests of both kinds, or their calls, run on one service.
func (r *Root) sharesWith(o *Root) bool {
	for s, cost := range r.Slots {
		if cost > 0 && o.Slots[s] > 0 {
			return true
		}
	}
	return false
}

// leastPart of what every kind would get if all were alike is what even the least urgent one gets: an urgent kind
// whose calls fill a small service would else shut out all others there, down to those whose only service it is.
const leastPart = 0.4

// grantLeast gives the first attempts of each kind that much.
func grantLeast(flows []flow, left map[string]float64, out map[string]Share) {
	var fresh []flow
	for _, f := range flows {
		if !f.returning {
			fresh = append(fresh, f)
		}
	}
	alike := make(map[string]Share, len(fresh))
	fillAlike(fresh, maps.Clone(left), alike)
	for i := range flows {
		if f := &flows[i]; !f.returning {
			least := leastPart * alike[f.root.Route].Fresh
			grant(*f, least, left, out)
			f.rate -= least * f.whole
		}
	}
}

// flowsOf returns all flows, the first to be admitted first.
func flowsOf(roots []Root) []flow {
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

// costWeight is how much more of a flow is let through the less it takes of the tightest service: a kind that takes
// three quarters of what another one takes gets more than twice its share. So more requests are served in all,
// and what is learned of costs may be a little wrong without turning the order round.
const costWeight = 3.0

// fill gives flows of one rank their shares of the tightest service below them, by what they take of it. What is
// left over, since some are held down elsewhere, goes to all of them alike, before flows of the next rank.
func fill(flows []flow, left map[string]float64, out map[string]Share) {
	var rest []flow
	for open := flows; len(open) > 0; {
		service, alike := tightest(open, left)
		share := weighed(open, service, alike, left)
		for _, f := range open {
			if service == "" || f.root.Slots[service] > 0 {
				f.rate *= 1 - share(f)
				rest = append(rest, f)
			}
		}
		open = grantTightest(open, service, share, left, out)
	}
	fillAlike(rest, left, out)
}

// fillAlike gives each flow the share of the tightest service below it.
func fillAlike(flows []flow, left map[string]float64, out map[string]Share) {
	for len(flows) > 0 {
		service, share := tightest(flows, left)
		flows = grantTightest(flows, service, func(flow) float64 { return share }, left, out)
	}
}

// grantTightest gives the flows below which the service lies their share of it, and returns the others.
func grantTightest(flows []flow, service string, share func(flow) float64, left map[string]float64, out map[string]Share) (rest []flow) {
	for _, f := range flows {
		if service != "" && f.root.Slots[service] == 0 {
			rest = append(rest, f)
			continue
		}
		grant(f, share(f), left, out)
	}
	return rest
}

// weighed returns the share of each flow of a service that holds them down to a share if all were alike.
func weighed(flows []flow, service string, alike float64, left map[string]float64) func(flow) float64 {
	if service == "" || alike <= 0 {
		return func(flow) float64 { return alike }
	}
	dearest := 0.0
	for _, f := range flows {
		dearest = max(dearest, f.root.Slots[service])
	}
	share := func(f flow, level float64) float64 {
		return min(level*math.Pow(dearest/f.root.Slots[service], costWeight), 1)
	}
	level := alike // the level at which the service is full, found by halving
	for low := 0.0; level-low > levelStep*alike; {
		middle := (level + low) / 2
		if takes(flows, service, func(f flow) float64 { return share(f, middle) }) > max(left[service], 0) {
			level = middle
		} else {
			low = middle
		}
	}
	level *= 1 - levelStep
	fits := fitElsewhere(flows, service, func(f flow) float64 { return share(f, level) }, left)
	return func(f flow) float64 { return fits * share(f, level) }
}

// levelStep is how exactly the level is found.
const levelStep = 1e-3

// takes returns the slots of a service that flows take with their shares.
func takes(flows []flow, service string, share func(flow) float64) float64 {
	sum := 0.0
	for _, f := range flows {
		if cost := f.root.Slots[service]; cost > 0 {
			sum += f.rate * cost * share(f)
		}
	}
	return sum
}

// fitElsewhere returns the part of the shares with which the flows of the service fit into all other ones.
func fitElsewhere(flows []flow, service string, share func(flow) float64, left map[string]float64) float64 {
	fits := 1.0
	for other, room := range left {
		sum := 0.0
		for _, f := range flows {
			if f.root.Slots[service] > 0 {
				sum += f.rate * f.root.Slots[other] * share(f)
			}
		}
		if sum > max(room, 0) {
			fits = min(fits, max(room, 0)/sum)
		}
	}
	return fits
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

// grant gives a flow a share of what isn't granted yet.
func grant(f flow, share float64, left map[string]float64, out map[string]Share) {
	o := out[f.root.Route]
	part := share
	if f.whole > 0 {
		part = share * f.rate / f.whole
	}
	if f.returning {
		o.Returning = min(o.Returning+part, 1)
	} else {
		o.Fresh = min(o.Fresh+part, 1)
	}
	out[f.root.Route] = o
	for s, cost := range f.root.Slots {
		left[s] -= f.rate * share * cost
	}
}
