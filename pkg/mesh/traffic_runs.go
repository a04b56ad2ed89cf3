package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/overload"
)

// runStats counts the runs of one route at the server on this VM.
type runStats struct {
	rate        overload.DecayingRate
	holdSeconds overload.DecayingRate // seconds held
}

// beginRun notes a run that starts at the server on this VM, with the time limit that the server was given.
func (s *trafficStats) beginRun(now time.Time, route string, deadline time.Time) *callgraph.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learner.Begin(now, route, deadline)
}

// dropRun forgets a run that the server didn't take: counted, it would seem to hold a slot for no time and to make no calls.
func (s *trafficStats) dropRun(now time.Time, run *callgraph.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Drop(now, run)
}

// endRun notes the endRun of a run.
func (s *trafficStats) endRun(now time.Time, route string, run *callgraph.Run, held time.Duration, o gate.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.End(now, run, o == gate.Answered)
	r := s.runs[route]
	if r == nil {
		r = &runStats{}
		s.runs[route] = r
	}
	r.rate.Add(now, 1)
	r.holdSeconds.Add(now, held.Seconds())
}

// noteCall notes a call of the server on this VM.
func (s *trafficStats) noteCall(now time.Time, route string, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Call(now, route, deadline)
}

// knownCalls returns the calls of one run that are knownCalls well.
func (s *trafficStats) knownCalls() map[string]callgraph.Rates {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learner.Known()
}

// restoreCalls takes what was known before.
func (s *trafficStats) restoreCalls(known map[string]callgraph.Rates) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Recall(known)
}

// updateLearner has the learner work out what was seen.
func (s *trafficStats) updateLearner(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Look(now)
}

// learnPeriod is the time between the learner's looks at what was seen.
const learnPeriod = 100 * time.Millisecond
