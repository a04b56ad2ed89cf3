package loads

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// routeRuns are the runs of one route over all servers, for Places.
type routeRuns struct {
	rate, held float64            // runs a second, and the slots that they hold
	services   map[string]float64 // runs a second
}

// Placements says where each route runs and for how long, by the reports.
func Placements(reports []*Report) map[string]callgraph.Placement {
	all := map[string]*routeRuns{}
	for _, r := range reports {
		for route, x := range r.Runs {
			s := all[route]
			if s == nil {
				s = &routeRuns{services: map[string]float64{}}
				all[route] = s
			}
			s.rate += x.Rate
			s.held += x.Rate * x.HoldSeconds
			s.services[r.Service] += x.Rate
		}
	}
	places := make(map[string]callgraph.Placement, len(all))
	for route, s := range all {
		places[route] = s.place()
	}
	return places
}

// place returns the shares of the services and the average hold.
func (s *routeRuns) place() callgraph.Placement {
	p := callgraph.Placement{Shares: map[string]float64{}, HoldSeconds: s.held / s.rate}
	for service, rate := range s.services {
		p.Shares[service] = rate / s.rate
	}
	return p
}

// HoldTimes returns how long one run of each route holds a slot.
func HoldTimes(places map[string]callgraph.Placement) map[string]time.Duration {
	holds := make(map[string]time.Duration, len(places))
	for route, p := range places {
		holds[route] = time.Duration(p.HoldSeconds * float64(time.Second))
	}
	return holds
}
