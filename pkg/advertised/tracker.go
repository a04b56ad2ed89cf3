package advertised

import "time"

// Tracker follows the rate limit of one lifetime of a server by the answers that it gives. Its zero value has seen no
// answer.
type Tracker struct {
	limit        RateLimit
	advertisedAt time.Time // when the limit was last advertised or adopted
	answered     bool      // an answer of the server has been observed
}

// Observe applies the limit in a whole answer that was received at now, to a request sent at sent; it reports whether
// the limit changed. A lower limit applies at once. A higher one, or none, applies only if the request was sent after
// the current limit was last advertised: any other answer may have been written before that.
func (t *Tracker) Observe(sent, now time.Time, l RateLimit) (changed bool) {
	if l.less(t.limit) || l == t.limit {
		return t.advertise(now, l)
	}
	if t.limit.Advertised && !sent.After(t.advertisedAt) {
		t.answered = true
		return false
	}
	return t.advertise(now, l)
}

// advertise sets the limit from an answer and reports whether it changed.
func (t *Tracker) advertise(now time.Time, l RateLimit) (changed bool) {
	changed = t.limit != l
	t.limit, t.advertisedAt, t.answered = l, now, true
	return changed
}

// Adopt takes over a limit that another node has learned, and reports whether the limit changed. It has no effect once
// an answer has been observed, since the server's own answers are newer; of several adopted limits the lowest applies.
func (t *Tracker) Adopt(now time.Time, l RateLimit) (changed bool) {
	if t.answered || !l.less(t.limit) {
		return false
	}
	t.limit, t.advertisedAt = l, now
	return true
}

// Limit returns the current limit.
func (t *Tracker) Limit() RateLimit { return t.limit }

// Age returns for how long the current limit hasn't been confirmed by an answer.
func (t *Tracker) Age(now time.Time) time.Duration { return now.Sub(t.advertisedAt) }

// less reports whether l allows less than other.
func (l RateLimit) less(other RateLimit) bool {
	if !l.Advertised || !other.Advertised {
		return l.Advertised
	}
	return l.PerSecond < other.PerSecond
}
