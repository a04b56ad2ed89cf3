package overload

import "math"

// KindDemand is the demand for one kind of root request in the whole system, and its cost.
type KindDemand struct {
	Kind        string
	Priority    int                // 0 is the most urgent
	Fresh       float64            // first attempts a second
	Returning   float64            // clients' retries a second, after a refusal
	SlotSeconds map[string]float64 // cost of one request by service, calls included
	Runs        map[string]float64 // runs caused by one request by service, calls included; nil: unknown
	// Success is the probability that all calls of an admitted request succeed, 0 if it isn't known. SuccessAt is the same
	// for the calls to each service whose losses come from load.
	Success   float64
	SuccessAt map[string]float64
	// Services are those that the request itself may run on.
	Services []string
}

// Share is the admitted share of a kind's first attempts and of its clients' retries, each 0 to 1.
type Share struct {
	Fresh     float64
	Returning float64
}

// TargetUtilization is the share of a service's capacity that admission fills, for requests that run there once. It is above 1 because some requests fail
// before they have made all of their calls, and because a gate that rejects too many requests lowers the capacity
// (UsableFractionController).
const TargetUtilization = 1.1

// Options switch mechanisms of the plan off; the zero value has them all on.
type Options struct {
	NoMinimumShare bool // kinds get no minimum before the more urgent ones are served
	EqualShares    bool // kinds of one rank get equal shares, whatever they cost
	SameTarget     bool // services are filled alike, however many calls a request makes there
}

// PlanShares returns the admitted share of each kind such that all fit into the services' capacity in slots, with all
// mechanisms on.
func PlanShares(roots []KindDemand, capacity map[string]float64) map[string]Share {
	return Options{}.PlanShares(roots, capacity)
}

// PlanShares returns the admitted share of each kind such that all fit into the services' capacity in slots.
func (o Options) PlanShares(roots []KindDemand, capacity map[string]float64) map[string]Share {
	out := o.planShares(roots, o.targets(roots, capacity))
	probing := probingShares(roots, out, o.BottleneckServices(roots, out, capacity))
	if len(probing) > 0 {
		out = o.planShares(scaledDemand(roots, probing), o.targets(roots, capacity))
	}
	for kind, p := range probing {
		out[kind] = Share{Fresh: out[kind].Fresh * p, Returning: out[kind].Returning * p}
	}
	o.limitByUrgentKinds(roots, probing, capacity, out)
	return out
}

// targets returns the slots of each service that admission fills.
func (o Options) targets(roots []KindDemand, capacity map[string]float64) map[string]float64 {
	var calls map[string]float64
	if !o.SameTarget {
		calls = CallsPerRequest(roots, nil)
	}
	t := make(map[string]float64, len(capacity))
	for s, c := range capacity {
		t[s] = c * targetUtilization(calls[s])
	}
	return t
}

// targetUtilization returns the target for a service where one request makes n calls. It falls to 1 with n: of requests that
// make several calls in turn nearly all fail where a tenth of the calls has no slot.
func targetUtilization(n float64) float64 {
	if n <= 1 {
		return TargetUtilization
	}
	return 1 + (TargetUtilization-1)/math.Sqrt(n)
}

// planShares returns the shares of kinds that are planned for alike.
func (o Options) planShares(roots []KindDemand, left map[string]float64) map[string]Share {
	out := make(map[string]Share, len(roots))
	flows := flowsByRank(roots)
	if !o.NoMinimumShare {
		grantMinimum(flows, left, out)
	}
	for len(flows) > 0 {
		n := firstRankLen(flows)
		if o.EqualShares {
			grantEqualShares(flows[:n], left, out)
		} else {
			grantWeightedShares(flows[:n], left, out)
		}
		if n == len(flows) || flows[n].kind.Priority != flows[0].kind.Priority {
			reserveForLosses(roots, flows[0].kind.Priority, out, left)
		}
		flows = flows[n:]
	}
	rejectUncountedRetries(roots, out)
	return out
}

// rejectUncountedRetries rejects the retries of kinds whose first attempts don't all fit, where no retries were counted:
// after a loss of all nodes, clients rejected meanwhile come back before any node has counted them.
func rejectUncountedRetries(roots []KindDemand, out map[string]Share) {
	for _, r := range roots {
		if s := out[r.Kind]; s.Fresh < 1 && r.Returning == 0 {
			out[r.Kind] = Share{Fresh: s.Fresh}
		}
	}
}

// bottleneckUtilization is the fraction of a service's target that planned load reaches if the service limits admission:
// the plan stops a little below the target.
const bottleneckUtilization = 0.97

// BottleneckServices returns the services whose capacity the admitted requests fill, with all mechanisms on.
func BottleneckServices(roots []KindDemand, shares map[string]Share, capacity map[string]float64) map[string]bool {
	return Options{}.BottleneckServices(roots, shares, capacity)
}

// BottleneckServices returns the services whose capacity the admitted requests fill.
func (o Options) BottleneckServices(roots []KindDemand, shares map[string]Share, capacity map[string]float64) map[string]bool {
	load := map[string]float64{}
	for _, r := range roots {
		admitted := r.Fresh*shares[r.Kind].Fresh + r.Returning*shares[r.Kind].Returning
		for s, cost := range r.SlotSeconds {
			load[s] += cost * admitted
		}
	}
	bottlenecks := map[string]bool{}
	for s, target := range o.targets(roots, capacity) {
		if target > 0 && load[s] >= bottleneckUtilization*target {
			bottlenecks[s] = true
		}
	}
	return bottlenecks
}
