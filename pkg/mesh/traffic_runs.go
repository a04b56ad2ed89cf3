package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/budget"
	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/overload"
)

// runStats counts the runs of one route at the local backend server.
type runStats struct {
	rate        overload.DecayingRate
	holdSeconds overload.DecayingRate // slot seconds
}

// beginRun notes a run that starts at the local backend server with the given deadline.
func (s *trafficStats) beginRun(now time.Time, route string, deadline time.Time) *callgraph.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learner.BeginRun(now, route, deadline)
}

// setReserve notes what the caller of a run still needs after it.
func (s *trafficStats) setReserve(run *callgraph.Run, r budget.Reserve) {
	if r.Time <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Reserve, run.CallsToCome = r.Time, r.Calls
}

// dropRun discards a run that the server didn't accept: it would count as one with no slot hold time and no calls.
func (s *trafficStats) dropRun(now time.Time, run *callgraph.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.DiscardRun(now, run)
}

// endRun counts a finished run and its slot hold time; only runs with an answer contribute to the learned calls.
func (s *trafficStats) endRun(now time.Time, route string, run *callgraph.Run, hold time.Duration, o gate.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.EndRun(now, run, o == gate.Answered)
	if o == gate.Answered {
		s.times.ObserveRun(route, hold)
	}
	r := s.runs[route]
	if r == nil {
		r = &runStats{}
		s.runs[route] = r
	}
	r.rate.Add(now, 1)
	r.holdSeconds.Add(now, hold.Seconds())
}

// noteCall notes a call that the local backend server makes to a route.
func (s *trafficStats) noteCall(now time.Time, route string, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.ObserveCall(now, route, deadline)
}

// knownCalls returns, by route, the calls per run that have been learned reliably.
func (s *trafficStats) knownCalls() map[string]callgraph.Rates {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learner.ReliableCalls()
}

// restoreCalls hands calls per run that were learned earlier to the learner.
func (s *trafficStats) restoreCalls(known map[string]callgraph.Rates) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Restore(known)
}

// updateLearner has the learner evaluate the runs and calls since the last time.
func (s *trafficStats) updateLearner(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Update(now)
}

// learnPeriod is the time between calls of updateLearner.
const learnPeriod = 100 * time.Millisecond
