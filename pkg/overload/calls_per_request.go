package overload

// CallsPerRequest returns by service how many runs there one admitted request causes, its calls included, averaged over the
// requests that need the service. A kind with less than one run a request counts by its runs, so that learned traces of a
// service don't lower the average. Shares of nil stand for the whole demand.
func CallsPerRequest(roots []KindDemand, shares map[string]Share) map[string]float64 {
	runs, requests := map[string]float64{}, map[string]float64{}
	for i := range roots {
		r := &roots[i]
		admitted := r.Fresh + r.Returning
		if shares != nil {
			admitted = r.Fresh*shares[r.Kind].Fresh + r.Returning*shares[r.Kind].Returning
		}
		for s, k := range r.Runs {
			runs[s] += admitted * k
			requests[s] += admitted * min(k, 1)
		}
	}
	calls := make(map[string]float64, len(runs))
	for s, k := range runs {
		if requests[s] > 0 {
			calls[s] = max(k/requests[s], 1)
		}
	}
	return calls
}
