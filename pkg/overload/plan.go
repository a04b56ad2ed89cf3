package overload

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
		n := firstRank(flows)
		fill(flows[:n], left, out)
		flows = flows[n:]
	}
	return out
}
