package httpconn

import "time"

// silence is the requests without an answer since the last answer to any; its zero value is none.
type silence struct {
	sends    int
	first    time.Time     // when the first of them was sent
	patience time.Duration // of the most patient one
}

// sending notes a request. Where the other side has been silent for longer than so many requests before it had patience, it returns since when, and
// zero otherwise.
func (s *silence) sending(now time.Time, patience time.Duration, least int) (since time.Time) {
	if s.sends >= least && now.Sub(s.first) >= s.patience {
		since = s.first
	}
	if s.sends == 0 {
		*s = silence{first: now}
	}
	s.sends++
	s.patience = max(s.patience, patience)
	return since
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
