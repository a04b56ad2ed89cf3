package overload

import "math"

// costExponent is the power of the inverse cost of a request that succeeds by which flows of one rank are weighted: a kind that takes three quarters
// of another's slots at the bottleneck gets more than twice its share. So more requests are served in all, and small
// errors in learned costs don't reverse the order.
const costExponent = 3.0

// grantWeightedShares grants flows of one rank their shares of the bottleneck services below them, weighted by cost.
// Capacity left over because some flows are limited elsewhere is granted to all of them equally, before the next rank.
func grantWeightedShares(flows []flow, left map[string]float64, out map[string]Share) {
	var rest []flow
	for open := flows; len(open) > 0; {
		service, equalShare := bottleneckOf(open, left)
		share := weightedShares(open, service, equalShare, left)
		for _, f := range open {
			if service == "" || f.kind.SlotSeconds[service] > 0 {
				f.ungranted *= 1 - share(f)
				rest = append(rest, f)
			}
		}
		open = grantUsersOf(open, service, share, left, out)
	}
	grantEqualShares(rest, left, out)
}

// weightedShares returns the weighted share of each flow at a bottleneck service that allows the given equal share.
func weightedShares(flows []flow, service string, equalShare float64, left map[string]float64) func(flow) float64 {
	if service == "" || equalShare <= 0 {
		return func(flow) float64 { return equalShare }
	}
	share := sharesByCost(flows, service)
	level := saturationLevel(flows, service, equalShare, left[service], share)
	full := share(level)
	fits := fitFactor(flows, service, full, left)
	return func(f flow) float64 { return fits * full(f) }
}

// sharesByCost returns the share of each flow as a function of the level, which is the share of the costliest flow.
func sharesByCost(flows []flow, service string) func(level float64) func(flow) float64 {
	highestCost := 0.0
	for _, f := range flows {
		highestCost = max(highestCost, f.kind.costOfSuccess(service))
	}
	return func(level float64) func(flow) float64 {
		return func(f flow) float64 {
			return min(level*math.Pow(highestCost/f.kind.costOfSuccess(service), costExponent), 1)
		}
	}
}

// saturationLevel returns the highest level at which the flows fit into the service's free slots, found by bisection.
func saturationLevel(flows []flow, service string, most, free float64, share func(level float64) func(flow) float64) float64 {
	level := most
	for low := 0.0; level-low > levelPrecision*most; {
		middle := (level + low) / 2
		if slotsUsed(flows, service, share(middle)) > max(free, 0) {
			level = middle
		} else {
			low = middle
		}
	}
	return level * (1 - levelPrecision)
}

// levelPrecision is the relative precision of the level.
const levelPrecision = 1e-3

// slotsUsed returns the slots of a service that the flows take with their shares.
func slotsUsed(flows []flow, service string, share func(flow) float64) float64 {
	sum := 0.0
	for _, f := range flows {
		if cost := f.kind.SlotSeconds[service]; cost > 0 {
			sum += f.ungranted * cost * share(f)
		}
	}
	return sum
}

// fitFactor returns the factor by which the shares must be scaled for the flows of a service to fit into all others.
func fitFactor(flows []flow, service string, share func(flow) float64, left map[string]float64) float64 {
	fits := 1.0
	for other, free := range left {
		sum := 0.0
		for _, f := range flows {
			if f.kind.SlotSeconds[service] > 0 {
				sum += f.ungranted * f.kind.SlotSeconds[other] * share(f)
			}
		}
		if sum > max(free, 0) {
			fits = min(fits, max(free, 0)/sum)
		}
	}
	return fits
}
