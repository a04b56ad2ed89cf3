package overload

import "math"

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
			if service == "" || f.root.SlotSeconds[service] > 0 {
				f.rate *= 1 - share(f)
				rest = append(rest, f)
			}
		}
		open = grantTightest(open, service, share, left, out)
	}
	fillAlike(rest, left, out)
}

// weighed returns the share of each flow of a service that holds them down to a share if all were alike.
func weighed(flows []flow, service string, alike float64, left map[string]float64) func(flow) float64 {
	if service == "" || alike <= 0 {
		return func(flow) float64 { return alike }
	}
	share := sharesByCost(flows, service)
	level := fullLevel(flows, service, alike, left[service], share)
	full := share(level)
	fits := fitElsewhere(flows, service, full, left)
	return func(f flow) float64 { return fits * full(f) }
}

// sharesByCost returns the share of each flow at a level, which is that of the flow that takes most of the service.
func sharesByCost(flows []flow, service string) func(level float64) func(flow) float64 {
	dearest := 0.0
	for _, f := range flows {
		dearest = max(dearest, f.root.SlotSeconds[service])
	}
	return func(level float64) func(flow) float64 {
		return func(f flow) float64 {
			return min(level*math.Pow(dearest/f.root.SlotSeconds[service], costWeight), 1)
		}
	}
}

// fullLevel returns the level at which the service is just not full, found by halving.
func fullLevel(flows []flow, service string, most, room float64, share func(level float64) func(flow) float64) float64 {
	level := most
	for low := 0.0; level-low > levelStep*most; {
		middle := (level + low) / 2
		if takes(flows, service, share(middle)) > max(room, 0) {
			level = middle
		} else {
			low = middle
		}
	}
	return level * (1 - levelStep)
}

// levelStep is how exactly the level is found.
const levelStep = 1e-3

// takes returns the slots of a service that flows take with their shares.
func takes(flows []flow, service string, share func(flow) float64) float64 {
	sum := 0.0
	for _, f := range flows {
		if cost := f.root.SlotSeconds[service]; cost > 0 {
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
			if f.root.SlotSeconds[service] > 0 {
				sum += f.rate * f.root.SlotSeconds[other] * share(f)
			}
		}
		if sum > max(room, 0) {
			fits = min(fits, max(room, 0)/sum)
		}
	}
	return fits
}
