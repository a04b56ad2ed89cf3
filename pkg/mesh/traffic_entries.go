package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/overload"
)

// entryStats counts the requests of one kind (loads.Kind) that begin on this VM.
type entryStats struct {
	firstAttempts, retries overload.DecayingRate
	standalone             overload.DecayingRate // came while no run was in progress that can have made them
	maxTimeLeft            time.Duration         // most time that a client of this kind ever had left
	firstAllowance         overload.Allowance
	retryAllowance         overload.Allowance
}

// retryTimeFraction of the longest time that clients of a kind have is the time left below which an attempt
// is one of a client that was refused before: a first attempt brings the whole time.
const retryTimeFraction = 0.995

// admit counts a request and decides whether it is taken in; the shares are those of its kind.
func (s *trafficStats) admit(now time.Time, kind string, left time.Duration, share overload.Share) (ok, returning bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(kind)
	if e.isRetry(left) {
		e.retries.Add(now, 1)
		return e.retryAllowance.Take(now, share.Returning, &e.retries), true
	}
	e.firstAttempts.Add(now, 1)
	return e.firstAllowance.Take(now, share.Fresh, &e.firstAttempts), false
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

// noteEntry notes a request that noteEntry on this VM, with its time limit: it may be a call of a run in progress or not.
func (s *trafficStats) noteEntry(now time.Time, kind string, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.learner.MayHaveMade(deadline) {
		s.entry(kind).standalone.Add(now, 1)
	}
}

// isRetry tells whether an attempt with that time left is one of a client that was refused before.
func (e *entryStats) isRetry(left time.Duration) bool {
	e.maxTimeLeft = max(e.maxTimeLeft, left)
	return float64(left) < retryTimeFraction*float64(e.maxTimeLeft)
}
