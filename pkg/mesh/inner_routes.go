package mesh

// The constants of telling calls from root requests.
const (
	// innerShare of a route's requests begin beside servers of one service if it is a call of theirs.
	// Clients come to the VMs of all services alike.
	innerShare = 0.97
	// innerRate is the least rate a second from which that is judged.
	innerRate = 2.0
	// innerOrigins is the least number of services beside which requests are seen to begin.
	innerOrigins = 2
)

// isInner tells whether only backend servers call the route, as far as it is known.
func (n *Node) isInner(route string) bool {
	p := n.plan.Load()
	return p != nil && p.inner[route]
}

// innerRoutes returns the routes that only the servers of one service call.
func (n *Node) innerRoutes(loads []*loadReport) map[string]bool {
	from, services := originsOf(loads)
	inner := map[string]bool{}
	if services < innerOrigins {
		return inner
	}
	for route, by := range from {
		sum, most := 0.0, 0.0
		for _, rate := range by {
			sum += rate
			most = max(most, rate)
		}
		inner[route] = sum >= innerRate && most >= innerShare*sum || sum < innerRate && n.isInner(route)
	}
	return inner
}

// originsOf returns the requests a second of each route by the service beside whose servers they begin, and the
// count of such services.
func originsOf(loads []*loadReport) (from map[string]map[string]float64, services int) {
	from = map[string]map[string]float64{}
	origins := map[string]bool{}
	for _, r := range loads {
		for route, e := range r.Entries {
			if from[route] == nil {
				from[route] = map[string]float64{}
			}
			from[route][r.Service] += e.Fresh + e.Returning
			origins[r.Service] = true
		}
	}
	return from, len(origins)
}
