package mesh

import (
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/overload"
)

// trafficStats counts this node's own traffic.
type trafficStats struct {
	mu      sync.Mutex
	entries map[string]*entryStats
	runs    map[string]*runStats
	learner callgraph.Learner     // of the calls that the server on this VM makes
	arrived overload.DecayingRate // requests at the gate
	turned  overload.DecayingRate // calls that the gate refused for want of room
	refused overload.DecayingRate // the same, roots included
}

type entryStats struct {
	fresh, returning overload.DecayingRate
	longest          time.Duration // most time that a client of this route ever had left
	owedFresh        float64       // admissions not yet made, of each flow
	owedReturning    float64
}

type runStats struct {
	rate overload.DecayingRate
	held overload.DecayingRate // seconds held
}

func (s *trafficStats) init() {
	s.entries = make(map[string]*entryStats)
	s.runs = make(map[string]*runStats)
}

// begin notes a run that starts at the server on this VM, with the time limit that the server was given.
func (s *trafficStats) begin(now time.Time, route string, deadline time.Time) *callgraph.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learner.Begin(now, route, deadline)
}

// end notes the end of such a run; one that the server refused isn't counted as a run.
func (s *trafficStats) end(now time.Time, route string, run *callgraph.Run, held time.Duration, o gate.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o == gate.Shed {
		s.learner.Drop(now, run)
		return
	}
	s.learner.End(now, run, o == gate.Answered)
	r := s.runs[route]
	if r == nil {
		r = &runStats{}
		s.runs[route] = r
	}
	r.rate.Add(now, 1)
	r.held.Add(now, held.Seconds())
}

// called notes a call of the server on this VM.
func (s *trafficStats) called(now time.Time, route string, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Call(now, route, deadline)
}

// known returns the calls of one run that are known well.
func (s *trafficStats) known() map[string]callgraph.Rates {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learner.Known()
}

// recall takes what was known before.
func (s *trafficStats) recall(known map[string]callgraph.Rates) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Recall(known)
}

// look has the learner work out what was seen.
func (s *trafficStats) look(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Look(now)
}

// atGate counts a request at the gate, and whether it was turned away for want of room.
func (s *trafficStats) atGate(now time.Time, inner, turnedAway bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived.Add(now, 1)
	if !turnedAway {
		return
	}
	s.refused.Add(now, 1)
	if inner {
		s.turned.Add(now, 1)
	}
}

// turnedAwayShare returns the share of the requests at the gate that were turned away of late.
func (s *trafficStats) turnedAwayShare(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	arrived := s.arrived.PerSecond(now)
	if arrived < leastReported {
		return 0
	}
	return s.refused.PerSecond(now) / arrived
}

// turnedAwayRate returns those calls a second.
func (s *trafficStats) turnedAwayRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turned.PerSecond(now)
}

// returningShare of the longest time that clients of a route have is the time left below which an attempt
// is one of a client that was refused before: a first attempt brings the whole time.
const returningShare = 0.995

// admit counts a request and decides whether it is taken in; the shares are those of its kind.
func (s *trafficStats) admit(now time.Time, route string, left time.Duration, share overload.Share) (ok, returning bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[route]
	if e == nil {
		e = &entryStats{owedFresh: 1, owedReturning: 1}
		s.entries[route] = e
	}
	e.longest = max(e.longest, left)
	returning = float64(left) < returningShare*float64(e.longest)
	owed, part := &e.owedFresh, share.Fresh
	if returning {
		owed, part = &e.owedReturning, share.Returning
		e.returning.Add(now, 1)
	} else {
		e.fresh.Add(now, 1)
	}
	*owed = min(*owed+part, 2)
	if *owed < 1 {
		return false, returning
	}
	*owed--
	return true, returning
}

// leastReported is the rate a second below which a route isn't reported: it takes no part worth planning for.
const leastReported = 0.3

// report returns the counts as rates.
func (s *trafficStats) report(now time.Time) loadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := loadReport{Entries: map[string]entryReport{}, Runs: map[string]runReport{}}
	for route, e := range s.entries {
		f, b := e.fresh.PerSecond(now), e.returning.PerSecond(now)
		if f+b > leastReported {
			r.Entries[route] = entryReport{Fresh: round(f), Returning: round(b)}
		}
	}
	for route, x := range s.runs {
		rate, held := x.rate.PerSecond(now), x.held.PerSecond(now)
		if rate > leastReported {
			r.Runs[route] = runReport{Rate: round(rate), Hold: round(held / rate), Calls: s.callsOf(route)}
		}
	}
	return r
}

// callsOf returns the calls of one run of a route, as far as they are learned.
func (s *trafficStats) callsOf(route string) callgraph.Rates {
	calls := callgraph.Rates{}
	for called, n := range s.learner.Calls(route) {
		calls[called] = round(n)
	}
	return calls
}

// round keeps four decimals, so that messages stay short.
func round(v float64) float64 { return float64(int64(v*1e4+0.5)) / 1e4 }
