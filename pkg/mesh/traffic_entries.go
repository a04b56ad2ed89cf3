package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/overload"
)

// entryStats counts the requests of one route that begin on this VM.
type entryStats struct {
	fresh, returning overload.DecayingRate
	longest          time.Duration // most time that a client of this route ever had left
	owedFresh        float64       // admissions not yet made, of each flow
	owedReturning    float64
}

// returningShare of the longest time that clients of a route have is the time left below which an attempt
// is one of a client that was refused before: a first attempt brings the whole time.
const returningShare = 0.995

// mostOwed bounds the admissions of a flow that are owed to it, in requests.
const mostOwed = 2.0

// admit counts a request and decides whether it is taken in; the shares are those of its kind.
func (s *trafficStats) admit(now time.Time, route string, left time.Duration, share overload.Share) (ok, returning bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[route]
	if e == nil {
		e = &entryStats{owedFresh: 1, owedReturning: 1}
		s.entries[route] = e
	}
	if e.isReturning(left) {
		e.returning.Add(now, 1)
		return takeOwed(&e.owedReturning, share.Returning), true
	}
	e.fresh.Add(now, 1)
	return takeOwed(&e.owedFresh, share.Fresh), false
}

// isReturning tells whether an attempt with that time left is one of a client that was refused before.
func (e *entryStats) isReturning(left time.Duration) bool {
	e.longest = max(e.longest, left)
	return float64(left) < returningShare*float64(e.longest)
}

// takeOwed adds a flow's share of one admission to those owed to it, and takes a whole one if there is one.
func takeOwed(owed *float64, share float64) bool {
	*owed = min(*owed+share, mostOwed)
	if *owed < 1 {
		return false
	}
	*owed--
	return true
}
