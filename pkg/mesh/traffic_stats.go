package mesh

import (
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/budget"
	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
)

// trafficStats counts the requests that begin at this node, arrive at its gate and run at the local backend server.
type trafficStats struct {
	mu      sync.Mutex
	entries map[string]*entryStats // by loads.Kind
	runs    map[string]*runStats
	// maxTimeLeft is, by route, the longest time to the deadline that recent calls had when they arrived at the gate.
	maxTimeLeft      map[string]*recentMax
	learner          callgraph.Learner     // of the calls that the local backend server makes
	times            budget.Times          // of those calls, of the requests that begin here and of the local server's runs
	shortRoots       budget.RefusalLimit   // of client requests that have too little time left
	gateArrivals     overload.DecayingRate // all requests that arrive at the gate
	rejectedCalls    overload.DecayingRate // internal calls that the gate rejected since the server was full
	rejectedRequests overload.DecayingRate // requests that it rejected for lack of slots
}

// init prepares the counts for use.
func (s *trafficStats) init() {
	s.entries = make(map[string]*entryStats)
	s.runs = make(map[string]*runStats)
	s.maxTimeLeft = make(map[string]*recentMax)
}

// minReportedRate is the rate per second below which a route isn't reported: its load is too small to plan for.
const minReportedRate = 0.3

// report returns the counts as rates per second, and the average slot hold times in seconds.
func (s *trafficStats) report(now time.Time) loads.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := loads.Report{Entries: map[string]loads.Entry{}, Runs: map[string]loads.RunStats{}}
	for kind, e := range s.entries {
		first, retries := e.firstAttempts.PerSecond(now), e.retries.PerSecond(now)
		if first+retries > minReportedRate {
			r.Entries[kind] = loads.Entry{
				Fresh: round(first), Returning: round(retries), WithoutCaller: round(e.standalone.PerSecond(now)), Lost: loads.LostOf(e.lost.PerSecond(now)),
			}
		}
	}
	for route, x := range s.runs {
		rate, held := x.rate.PerSecond(now), x.holdSeconds.PerSecond(now)
		if rate > minReportedRate {
			r.Runs[route] = loads.RunStats{Rate: round(rate), HoldSeconds: round(held / rate), CallsPerRun: s.callsPerRun(route)}
		}
	}
	return r
}

// arrivalRate returns the requests per second that begin at this node or arrive at its gate.
func (s *trafficStats) arrivalRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.gateArrivals.PerSecond(now)
	for _, e := range s.entries {
		sum += e.firstAttempts.PerSecond(now) + e.retries.PerSecond(now)
	}
	return sum
}

// callsPerRun returns the calls that one run of a route makes, by called route, as far as they are learned.
func (s *trafficStats) callsPerRun(route string) callgraph.Rates {
	calls := callgraph.Rates{}
	for called, n := range s.learner.CallsPerRun(route) {
		calls[called] = round(n)
	}
	return calls
}

// round rounds a non-negative value to four decimals, which keeps messages short.
func round(v float64) float64 { return float64(int64(v*1e4+0.5)) / 1e4 }
