package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/overload"
)

// entryStats counts the requests of one kind (loads.Kind) that begin on this VM.
type entryStats struct {
	fresh, returning overload.DecayingRate
	alone            overload.DecayingRate // came while no run was in progress that can have made them
	longest          time.Duration         // most time that a client of this kind ever had left
	mayFresh         overload.AdmissionBucket
	mayReturning     overload.AdmissionBucket
}

// returningShare of the longest time that clients of a kind have is the time left below which an attempt
// is one of a client that was refused before: a first attempt brings the whole time.
const returningShare = 0.995

// admit counts a request and decides whether it is taken in; the shares are those of its kind.
func (s *trafficStats) admit(now time.Time, kind string, left time.Duration, share overload.Share) (ok, returning bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(kind)
	if e.isReturning(left) {
		e.returning.Add(now, 1)
		return e.mayReturning.Admit(now, share.Returning, &e.returning), true
	}
	e.fresh.Add(now, 1)
	return e.mayFresh.Admit(now, share.Fresh, &e.fresh), false
}

// entry returns the counts of a kind, made if it is new.
func (s *trafficStats) entry(kind string) *entryStats {
	e := s.entries[kind]
	if e == nil {
		e = &entryStats{}
		s.entries[kind] = e
	}
	return e
}

// begins notes a request that begins on this VM, with its time limit: it may be a call of a run in progress or not.
func (s *trafficStats) begins(now time.Time, kind string, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.learner.HasPossibleCaller(deadline) {
		s.entry(kind).alone.Add(now, 1)
	}
}

// isReturning tells whether an attempt with that time left is one of a client that was refused before.
func (e *entryStats) isReturning(left time.Duration) bool {
	e.longest = max(e.longest, left)
	return float64(left) < returningShare*float64(e.longest)
}
