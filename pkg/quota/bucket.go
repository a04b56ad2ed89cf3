package quota

import "time"

// bucket is one team's token bucket at one owner.
type bucket struct {
	level float64
	last  time.Time // the time to which level refers
	// initiallyFilled tells that it was filled at Owner.FillOnceAt.
	initiallyFilled bool
}

// fill adds the tokens that have accrued until now, at rate tokens a second, up to depth.
func (b *bucket) fill(now time.Time, rate, depth float64) {
	if now.After(b.last) {
		b.level += rate * now.Sub(b.last).Seconds()
		b.last = now
	}
	b.level = min(b.level, depth)
}

// take removes up to want whole tokens and leaves at least kept tokens; it returns how many it removed.
func (b *bucket) take(want int, kept float64) int {
	n := min(want, int(b.level-kept))
	if n <= 0 {
		return 0
	}
	b.level -= float64(n)
	return n
}
