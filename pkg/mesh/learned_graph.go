package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// isInner tells whether only backend servers call the route, as far as it is known.
func (n *Node) isInner(route string) bool {
	p := n.plan.Load()
	return p != nil && p.inner[route]
}

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

// innerRoutes returns the routes that only the servers of one service call.
func (n *Node) innerRoutes(loads []*loadReport) map[string]bool {
	from := map[string]map[string]float64{} // by route, by service beside which it began
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
	inner := map[string]bool{}
	if len(origins) < innerOrigins {
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

// lookPeriod is the time between the learner's looks at what was seen.
const lookPeriod = 100 * time.Millisecond

// graphOf returns the calls that one run makes, averaged over the servers of its service by their runs.
func graphOf(loads []*loadReport) callgraph.Graph {
	g := callgraph.Graph{}
	rates := map[[2]string]float64{}
	for _, r := range loads {
		for route, run := range r.Runs {
			rates[[2]string{r.Service, route}] += run.Rate
		}
	}
	for _, r := range loads {
		if g[r.Service] == nil {
			g[r.Service] = map[string]callgraph.Rates{}
		}
		for route, run := range r.Runs {
			if g[r.Service][route] == nil {
				g[r.Service][route] = callgraph.Rates{}
			}
			for called, k := range run.Calls {
				g[r.Service][route][called] += k * run.Rate / rates[[2]string{r.Service, route}]
			}
		}
	}
	return g
}

// placeLife is how long the place of a route counts after it was last seen to run: a service that can't be reached
// any more is still needed, so what calls it is refused at its entry. Longer than cuts last, short enough for a route
// that moved.
const placeLife = time.Minute

// lastPlace is where a route was last seen to run.
type lastPlace struct {
	place callgraph.Place
	seen  time.Time
}

// placesNow returns where each route runs by the reports, and for those that none tells of where they last ran.
func (n *Node) placesNow(now time.Time, loads []*loadReport) map[string]callgraph.Place {
	places := placesOf(loads)
	for route, p := range places {
		n.control.places[route] = lastPlace{p, now}
	}
	for route, last := range n.control.places {
		if now.Sub(last.seen) > placeLife {
			delete(n.control.places, route)
		} else if _, known := places[route]; !known {
			places[route] = last.place
		}
	}
	return places
}

// placesOf says where each route runs and for how long, by the reports.
func placesOf(loads []*loadReport) map[string]callgraph.Place {
	type sums struct {
		rate, held float64
		services   map[string]float64
	}
	all := map[string]*sums{}
	for _, r := range loads {
		for route, x := range r.Runs {
			s := all[route]
			if s == nil {
				s = &sums{services: map[string]float64{}}
				all[route] = s
			}
			s.rate += x.Rate
			s.held += x.Rate * x.Hold
			s.services[r.Service] += x.Rate
		}
	}
	places := make(map[string]callgraph.Place, len(all))
	for route, s := range all {
		p := callgraph.Place{Shares: map[string]float64{}, Hold: s.held / s.rate}
		for service, rate := range s.services {
			p.Shares[service] = rate / s.rate
		}
		places[route] = p
	}
	return places
}
