package mesh

import "time"

// atGate counts a request at the first gate that it comes to, and whether it was turned away for want of room. In a service of
// many servers a request goes on to all of them: were it counted at each, the share that is turned away would grow
// with their number, and with it the room that is taken from them.
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

// callAge returns by how much less time a call has left than one of its route had here of late.
func (s *trafficStats) callAge(now time.Time, route string, left time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.longestCall[route]
	if m == nil {
		m = &recentMost{}
		s.longestCall[route] = m
	}
	return m.with(now, left) - left
}

// mostMemory is how long the most time of a route's calls is remembered at the least, twice that at the most: one whose
// limit is lowered has calls that would else look old for ever, and go before those of other routes.
const mostMemory = 5 * time.Second

// recentMost is the longest of the times seen of late; its zero value has seen none.
type recentMost struct {
	current, before time.Duration
	since           time.Time // when current began
}

// with takes one more time and returns the longest.
func (m *recentMost) with(now time.Time, d time.Duration) time.Duration {
	if now.Sub(m.since) >= mostMemory {
		m.before, m.current, m.since = m.current, 0, now
	}
	m.current = max(m.current, d)
	return max(m.current, m.before)
}
