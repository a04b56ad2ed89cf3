package quota

import "time"

// bucket is the tokens of one team at one owner.
type bucket struct {
	level float64
	last  time.Time // as of which the level is
	// begunFull tells that it was filled for the first start.
	begunFull bool
}

// fill brings the level up to date.
func (b *bucket) fill(now time.Time, rate, depth float64) {
	if now.After(b.last) {
		b.level += rate * now.Sub(b.last).Seconds()
		b.last = now
	}
	b.level = min(b.level, depth)
}

// take takes as many whole tokens as there are above what is kept.
func (b *bucket) take(want int, kept float64) int {
	n := min(want, int(b.level-kept))
	if n <= 0 {
		return 0
	}
	b.level -= float64(n)
	return n
}
