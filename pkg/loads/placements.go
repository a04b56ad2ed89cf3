package loads

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// routeTotals are the runs of one route over all servers, for Placements.
type routeTotals struct {
	rate, slotsHeld float64            // runs a second, and slots held on average
	services        map[string]float64 // runs a second by service
}

// Placements returns where each route runs and for how long, by the reports.
func Placements(reports []*Report) map[string]callgraph.Placement {
	all := map[string]*routeTotals{}
	for _, r := range reports {
		for route, x := range r.Runs {
			s := all[route]
			if s == nil {
				s = &routeTotals{services: map[string]float64{}}
				all[route] = s
			}
			s.rate += x.Rate
			s.slotsHeld += x.Rate * x.HoldSeconds
			s.services[r.Service] += x.Rate
		}
	}
	places := make(map[string]callgraph.Placement, len(all))
	for route, s := range all {
		places[route] = s.placement()
	}
	return places
}

// placement returns the services' shares of the runs, and the average slot hold time.
func (s *routeTotals) placement() callgraph.Placement {
	p := callgraph.Placement{Shares: map[string]float64{}, HoldSeconds: s.slotsHeld / s.rate}
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

// maxCallShare bounds the share of calls: the calls per run are estimates, and no run consists of calls alone.
const maxCallShare = 0.95

// CallShares returns, by route, the share of the slot hold time that a run waits for its own calls, as far as these are known.
// Their waits at gates and on the network aren't counted, so the share is rather too low.
func CallShares(g callgraph.Graph, places map[string]callgraph.Placement) map[string]float64 {
	shares := make(map[string]float64, len(places))
	for route, p := range places {
		if p.HoldSeconds <= 0 {
			continue
		}
		waited := 0.0
		for service, share := range p.Shares {
			for called, k := range g[service][route] {
				waited += share * k * places[called].HoldSeconds
			}
		}
		shares[route] = min(waited/p.HoldSeconds, maxCallShare)
	}
	return shares
}
