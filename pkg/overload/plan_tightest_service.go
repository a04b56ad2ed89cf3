package overload

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
		if service != "" && f.root.SlotSeconds[service] == 0 {
			rest = append(rest, f)
			continue
		}
		grant(f, share(f), left, out)
	}
	return rest
}

// tightest returns the service that allows the least share of the flows, or "" with 1 if all fit.
func tightest(flows []flow, left map[string]float64) (string, float64) {
	demand := map[string]float64{}
	for _, f := range flows {
		for s, cost := range f.root.SlotSeconds {
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
