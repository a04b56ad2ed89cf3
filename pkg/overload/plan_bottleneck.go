package overload

// grantEqualShares grants each flow the share that its bottleneck service allows, equal for all flows of that service.
func grantEqualShares(flows []flow, left map[string]float64, out map[string]Share) {
	for len(flows) > 0 {
		service, share := bottleneckOf(flows, left)
		flows = grantUsersOf(flows, service, func(flow) float64 { return share }, left, out)
	}
}

// grantUsersOf grants the flows that use a service their shares, and returns the others; an empty name stands for all flows.
func grantUsersOf(flows []flow, service string, share func(flow) float64, left map[string]float64, out map[string]Share) (rest []flow) {
	for _, f := range flows {
		if service != "" && f.kind.SlotSeconds[service] == 0 {
			rest = append(rest, f)
			continue
		}
		grant(f, share(f), left, out)
	}
	return rest
}

// bottleneckOf returns the service that allows the flows the smallest equal share, with that share, or "" and 1 if all fit.
func bottleneckOf(flows []flow, left map[string]float64) (string, float64) {
	demand := map[string]float64{}
	for _, f := range flows {
		for s, cost := range f.kind.SlotSeconds {
			demand[s] += f.ungranted * cost
		}
	}
	service, lowest := "", 1.0
	for s, d := range demand {
		free, known := left[s]
		if !known || d <= 0 {
			continue
		}
		if share := max(free, 0) / d; share < lowest || (share == lowest && service != "" && s < service) {
			service, lowest = s, share
		}
	}
	return service, lowest
}
