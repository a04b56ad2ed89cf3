package overload

// KindDemand is one kind of root request.
type KindDemand struct {
	Kind        string
	Priority    int     // 0 is the most urgent
	Fresh       float64 // first attempts a second, in the whole system
	Returning   float64 // attempts a second of clients that were refused before
	SlotSeconds map[string]float64
}

// Share is the part of a kind that is admitted.
type Share struct {
	Fresh     float64
	Returning float64
}

// TargetUtilization is the share of a service's capacity that admission fills. More than all of it, since some requests fail
// before they have made all of their calls, and since a gate that turns requests away says so (RoomControl).
const TargetUtilization = 1.1

// Options switch parts of the plan off; the zero value has them all.
type Options struct {
	NoMinimumShare bool // nothing is kept for the less urgent kinds
	EqualShares    bool // kinds of one rank get the same share, whatever they cost
}

// PlanShares returns the share of each kind that fits into the services' capacity, in slots, by all parts of the plan.
func PlanShares(roots []KindDemand, capacity map[string]float64) map[string]Share {
	return Options{}.PlanShares(roots, capacity)
}

// PlanShares returns the share of each kind that fits into the services' capacity, in slots.
func (o Options) PlanShares(roots []KindDemand, capacity map[string]float64) map[string]Share {
	left := make(map[string]float64, len(capacity))
	for s, c := range capacity {
		left[s] = c * TargetUtilization
	}
	out := make(map[string]Share, len(roots))
	flows := flowsOf(roots)
	if !o.NoMinimumShare {
		grantLeast(flows, left, out)
	}
	for len(flows) > 0 {
		n := firstRank(flows)
		if o.EqualShares {
			fillAlike(flows[:n], left, out)
		} else {
			fill(flows[:n], left, out)
		}
		flows = flows[n:]
	}
	refuseUncounted(roots, out)
	return out
}

// refuseUncounted refuses those who come back of kinds whose first attempts don't all fit, where none were counted: after
// a loss of all nodes clients that were refused meanwhile come back before anybody knows how many they are.
func refuseUncounted(roots []KindDemand, out map[string]Share) {
	for _, r := range roots {
		if s := out[r.Kind]; s.Fresh < 1 && r.Returning == 0 {
			out[r.Kind] = Share{Fresh: s.Fresh}
		}
	}
}

// bindingShare of what may be filled of a service is filled if the plan holds requests down for it: it stops a little
// before that.
const bindingShare = 0.97

// BottleneckServices returns the services that requests fill with their shares.
func BottleneckServices(roots []KindDemand, shares map[string]Share, capacity map[string]float64) map[string]bool {
	load := map[string]float64{}
	for _, r := range roots {
		admitted := r.Fresh*shares[r.Kind].Fresh + r.Returning*shares[r.Kind].Returning
		for s, cost := range r.SlotSeconds {
			load[s] += cost * admitted
		}
	}
	binding := map[string]bool{}
	for s, c := range capacity {
		if c > 0 && load[s] >= bindingShare*c*TargetUtilization {
			binding[s] = true
		}
	}
	return binding
}
