package mesh

import "time"

// noteGateArrival counts a request at the first gate that it comes to, and whether it was turned away for want of room. In a service of
// many servers a request goes on to all of them: were it counted at each, the share that is turned away would grow
// with their number, and with it the room that is taken from them.
func (s *trafficStats) noteGateArrival(now time.Time, inner, turnedAway bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gateArrivals.Add(now, 1)
	if !turnedAway {
		return
	}
	s.rejectedRequests.Add(now, 1)
	if inner {
		s.rejectedCalls.Add(now, 1)
	}
}

// rejectedShare returns the share of the requests at the gate that were turned away of late.
func (s *trafficStats) rejectedShare(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	arrived := s.gateArrivals.PerSecond(now)
	if arrived < minReportedRate {
		return 0
	}
	return s.rejectedRequests.PerSecond(now) / arrived
}

// rejectedCallRate returns those calls a second.
func (s *trafficStats) rejectedCallRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectedCalls.PerSecond(now)
}

// callAge returns by how much less time a call has left than one of its route had here of late.
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

// recentMaxWindow is how long the most time of a route's calls is remembered at the least, twice that at the most: one whose
// limit is lowered has calls that would else look old for ever, and go before those of other routes.
const recentMaxWindow = 5 * time.Second

// recentMax is the longest of the times seen of late; its zero value has seen none.
type recentMax struct {
	current, previous time.Duration
	currentSince      time.Time // when current began
}

// add takes one more time and returns the longest.
func (m *recentMax) add(now time.Time, d time.Duration) time.Duration {
	if now.Sub(m.currentSince) >= recentMaxWindow {
		m.previous, m.current, m.currentSince = m.current, 0, now
	}
	m.current = max(m.current, d)
	return max(m.current, m.previous)
}
