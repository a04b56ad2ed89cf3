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
	// longestCall is the most time that a call of each route had left when it came to the gate.
	longestCall map[string]*recentMost
	learner     callgraph.Learner     // of the calls that the server on this VM makes
	arrived     overload.DecayingRate // requests at the gate
	turned      overload.DecayingRate // calls that the gate refused for want of room
	refused     overload.DecayingRate // the same, roots included
}

func (s *trafficStats) init() {
	s.entries = make(map[string]*entryStats)
	s.runs = make(map[string]*runStats)
	s.longestCall = make(map[string]*recentMost)
}

// leastReported is the rate a second below which a route isn't reported: it takes no part worth planning for.
const leastReported = 0.3

// report returns the counts as rates.
func (s *trafficStats) report(now time.Time) loads.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := loads.Report{Entries: map[string]loads.Entry{}, Runs: map[string]loads.RunStats{}}
	for kind, e := range s.entries {
		f, b := e.fresh.PerSecond(now), e.returning.PerSecond(now)
		if f+b > leastReported {
			r.Entries[kind] = loads.Entry{Fresh: round(f), Returning: round(b), WithoutCaller: round(e.alone.PerSecond(now))}
		}
	}
	for route, x := range s.runs {
		rate, held := x.rate.PerSecond(now), x.held.PerSecond(now)
		if rate > leastReported {
			r.Runs[route] = loads.RunStats{Rate: round(rate), HoldSeconds: round(held / rate), CallsPerRun: s.callsOf(route)}
		}
	}
	return r
}

// coming returns how many requests a second begin at this node or come to its gate.
func (s *trafficStats) coming(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.arrived.PerSecond(now)
	for _, e := range s.entries {
		sum += e.fresh.PerSecond(now) + e.returning.PerSecond(now)
	}
	return sum
}

// callsOf returns the calls of one run of a route, as far as they are learned.
func (s *trafficStats) callsOf(route string) callgraph.Rates {
	calls := callgraph.Rates{}
	for called, n := range s.learner.CallsPerRun(route) {
		calls[called] = round(n)
	}
	return calls
}

// round keeps four decimals, so that messages stay short.
func round(v float64) float64 { return float64(int64(v*1e4+0.5)) / 1e4 }
