package mesh

import (
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
)

// trafficStats counts this node's own traffic.
type trafficStats struct {
	mu      sync.Mutex
	entries map[string]*entryStats // by loads.Kind
	runs    map[string]*runStats
	// maxTimeLeft is the most time that a call of each route had left when it came to the gate.
	maxTimeLeft      map[string]*recentMax
	learner          callgraph.Learner     // of the calls that the server on this VM makes
	gateArrivals     overload.DecayingRate // requests at the gate
	rejectedCalls    overload.DecayingRate // calls that the gate refused for want of room
	rejectedRequests overload.DecayingRate // the same, roots included
}

func (s *trafficStats) init() {
	s.entries = make(map[string]*entryStats)
	s.runs = make(map[string]*runStats)
	s.maxTimeLeft = make(map[string]*recentMax)
}

// minReportedRate is the rate a second below which a route isn't reported: it takes no part worth planning for.
const minReportedRate = 0.3

// report returns the counts as rates.
func (s *trafficStats) report(now time.Time) loads.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := loads.Report{Entries: map[string]loads.Entry{}, Runs: map[string]loads.Run{}}
	for kind, e := range s.entries {
		f, b := e.firstAttempts.PerSecond(now), e.retries.PerSecond(now)
		if f+b > minReportedRate {
			r.Entries[kind] = loads.Entry{Fresh: round(f), Returning: round(b), Alone: round(e.standalone.PerSecond(now))}
		}
	}
	for route, x := range s.runs {
		rate, held := x.rate.PerSecond(now), x.holdSeconds.PerSecond(now)
		if rate > minReportedRate {
			r.Runs[route] = loads.Run{Rate: round(rate), Hold: round(held / rate), Calls: s.callsPerRun(route)}
		}
	}
	return r
}

// arrivalRate returns how many requests a second begin at this node or come to its gate.
func (s *trafficStats) arrivalRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.gateArrivals.PerSecond(now)
	for _, e := range s.entries {
		sum += e.firstAttempts.PerSecond(now) + e.retries.PerSecond(now)
	}
	return sum
}

// callsPerRun returns the calls of one run of a route, as far as they are learned.
func (s *trafficStats) callsPerRun(route string) callgraph.Rates {
	calls := callgraph.Rates{}
	for called, n := range s.learner.Calls(route) {
		calls[called] = round(n)
	}
	return calls
}

// round keeps four decimals, so that messages stay short.
func round(v float64) float64 { return float64(int64(v*1e4+0.5)) / 1e4 }
