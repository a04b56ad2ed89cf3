package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// noteGateArrival counts a request at the first gate where it arrives, and whether that gate rejected it since its server was
// full. A rejected request may try all servers of a service. If each gate counted it, the rejected share would grow with the
// number of servers, and reduce their usable slots. Rejections for the rate limit don't count in that share: requests that
// come close together are rejected by it although the limits have room for them.
func (s *trafficStats) noteGateArrival(now time.Time, internal bool, rejected wire.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gateArrivals.Add(now, 1)
	if rejected == wire.ReasonQueue {
		s.rejectedRequests.Add(now, 1)
	}
	if internal && isFull(rejected) {
		s.rejectedCalls.Add(now, 1)
	}
}

// rejectedShare returns the share, 0 to 1, of the recent requests at the gate that were rejected.
func (s *trafficStats) rejectedShare(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	arrived := s.gateArrivals.PerSecond(now)
	if arrived < minReportedRate {
		return 0
	}
	return s.rejectedRequests.PerSecond(now) / arrived
}

// gateArrivalRate returns the requests per second that arrive at the gate first, rejected ones included.
func (s *trafficStats) gateArrivalRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateArrivals.PerSecond(now)
}

// rejectedCallRate returns the internal calls per second that the gate rejects.
func (s *trafficStats) rejectedCallRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectedCalls.PerSecond(now)
}

// callAge estimates a call's age: the recent longest time to the deadline of calls of its route here, less this call's.
func (s *trafficStats) callAge(now time.Time, route string, left time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.maxTimeLeft[route]
	if m == nil {
		m = &recentMax{}
		s.maxTimeLeft[route] = m
	}
	return m.add(now, left) - left
}

// recentMaxWindow is the least time for which a recentMax retains a value; it forgets it after at most twice that. If it
// never forgot, all calls of a route whose timeout was lowered would look old, and go before those of other routes.
const recentMaxWindow = 5 * time.Second

// recentMax is the maximum of recent durations, kept in two windows. The zero value is empty.
type recentMax struct {
	current, previous time.Duration
	currentSince      time.Time // when current began
}

// add records a duration and returns the recent maximum.
func (m *recentMax) add(now time.Time, d time.Duration) time.Duration {
	if now.Sub(m.currentSince) >= recentMaxWindow {
		m.previous, m.current, m.currentSince = m.current, 0, now
	}
	m.current = max(m.current, d)
	return max(m.current, m.previous)
}
