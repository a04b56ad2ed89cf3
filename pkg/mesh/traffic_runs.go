package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/overload"
)

// runStats counts the runs of one route at the server on this VM.
type runStats struct {
	rate overload.DecayingRate
	held overload.DecayingRate // seconds held
}

// begin notes a run that starts at the server on this VM, with the time limit that the server was given.
func (s *trafficStats) begin(now time.Time, route string, deadline time.Time) *callgraph.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learner.BeginRun(now, route, deadline)
}

// drop forgets a run that the server didn't take: counted, it would seem to hold a slot for no time and to make no calls.
func (s *trafficStats) drop(now time.Time, run *callgraph.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.DiscardRun(now, run)
}

// end notes the end of a run.
func (s *trafficStats) end(now time.Time, route string, run *callgraph.Run, held time.Duration, o gate.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.EndRun(now, run, o == gate.Answered)
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
	s.learner.ObserveCall(now, route, deadline)
}

// known returns the calls of one run that are known well.
func (s *trafficStats) known() map[string]callgraph.Rates {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learner.ReliableCalls()
}

// recall takes what was known before.
func (s *trafficStats) recall(known map[string]callgraph.Rates) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Restore(known)
}

// look has the learner work out what was seen.
func (s *trafficStats) look(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Update(now)
}

// lookPeriod is the time between the learner's looks at what was seen.
const lookPeriod = 100 * time.Millisecond
