package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/overload"
)

// entryStats counts the requests of one kind (loads.Kind) that begin on this VM, and limits their admission.
type entryStats struct {
	firstAttempts, retries overload.DecayingRate
	standalone             overload.DecayingRate // came while no run in progress can have made them
	lost                   overload.DecayingRate // admitted and lost at their own hop
	maxTimeLeft            time.Duration         // longest time to the deadline that a request of this kind ever had
	firstAllowance         overload.AdmissionBucket
	retryAllowance         overload.AdmissionBucket
}

// retryTimeFraction is the fraction of a kind's longest time to the deadline below which an attempt counts as a client's
// retry after a refusal: a first attempt still has the client's whole timeout.
const retryTimeFraction = 0.995

// admit counts a request with the given time to its deadline, and decides by its kind's shares whether it is admitted;
// retry tells whether it counts as a client's retry after a refusal.
func (s *trafficStats) admit(now time.Time, kind string, left time.Duration, share overload.Share) (ok, retry bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(kind)
	if e.isRetry(left) {
		e.retries.Add(now, 1)
		return e.retryAllowance.Admit(now, share.Returning, &e.retries), true
	}
	e.firstAttempts.Add(now, 1)
	return e.firstAllowance.Admit(now, share.Fresh, &e.firstAttempts), false
}

// entry returns the counts of a kind, and creates them if the kind is new. s.mu must be held.
func (s *trafficStats) entry(kind string) *entryStats {
	e := s.entries[kind]
	if e == nil {
		e = &entryStats{}
		s.entries[kind] = e
	}
	return e
}

// noteEntry counts a request that begins on this VM as standalone, unless its deadline allows that a run in progress made
// it.
func (s *trafficStats) noteEntry(now time.Time, kind string, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.learner.HasPossibleCaller(deadline) {
		s.entry(kind).standalone.Add(now, 1)
	}
}

// noteLost counts an admitted request of a kind that was lost at its own hop.
func (s *trafficStats) noteLost(now time.Time, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry(kind).lost.Add(now, 1)
}

// isRetry notes an attempt's time to its deadline, and reports whether it counts as a client's retry after a refusal.
func (e *entryStats) isRetry(left time.Duration) bool {
	e.maxTimeLeft = max(e.maxTimeLeft, left)
	return float64(left) < retryTimeFraction*float64(e.maxTimeLeft)
}
