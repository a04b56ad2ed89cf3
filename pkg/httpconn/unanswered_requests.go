package httpconn

import "time"

// unanswered describes the requests sent since the last answer to any request; its zero value means none.
type unanswered struct {
	count     int
	firstSent time.Time     // when the first of them was sent
	expected  time.Duration // longest expected response time among them
}

// recordSend records a request at now with the given expected response time. If at least minCount requests before it are
// unanswered, and the longest expected response time among them has passed since the first, it returns when the first was sent,
// and otherwise the zero time.
func (s *unanswered) recordSend(now time.Time, expected time.Duration, minCount int) (since time.Time) {
	if s.count >= minCount && now.Sub(s.firstSent) >= s.expected {
		since = s.firstSent
	}
	if s.count == 0 {
		*s = unanswered{firstSent: now}
	}
	s.count++
	s.expected = max(s.expected, expected)
	return since
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
