package admission

import "time"

// limitWindow is the least time over which the limit is judged.
const limitWindow = 200 * time.Millisecond

// The limit's law: the ratio of own time to its baseline that counts as inflated or as calm,
// the cut and growth per window, and the throughput that a cut may cost and still count as free.
const (
	inflatedRatio  = 1.6
	calmRatio      = 1.25
	cutFactor      = 0.8
	growFactor     = 1.08
	freeCutShare   = 0.93
	minWindowCalls = 20
	holdAfterUndo  = 10 * limitWindow
	// baselineRise lets a baseline follow a service that has truly become slower, per window.
	baselineRise = 1.01
)

// limit adapts the number of calls that a backend server may run at once.
//
// A rise of own time alone doesn't say whether the server is crowded or just
// slower. So the limit tries a cut and compares the throughput: if it held,
// the server was crowded and the cut stays; if it fell with the limit, the
// server is slower at any load, the cut is undone and the baseline moves.
type limit struct {
	slots int
	floor int
	value float64

	start time.Time
	ramp  time.Duration

	windowStart time.Time
	calls       int
	ownTime     time.Duration
	peak        int

	baseline  time.Duration
	lastOwn   time.Duration
	cutFrom   float64 // value before a cut that is on trial, else 0
	cutRate   float64
	holdUntil time.Time
}

func newLimit(slots, floor int, ramp time.Duration, now time.Time) limit {
	slots = max(slots, 1)
	floor = min(max(floor, 1), slots)
	return limit{
		slots: slots, floor: floor, value: float64(slots),
		start: now, ramp: ramp, windowStart: now,
	}
}

// current returns the calls that may run at once, with the cold start ramp applied.
func (l *limit) current(now time.Time) int {
	v := l.value
	if age := now.Sub(l.start); age < l.ramp {
		share := 0.1 + 0.9*float64(age)/float64(l.ramp)
		v = min(v, share*float64(l.slots))
	}
	return max(int(v+0.5), l.floor)
}

// observe notes one call that ended after own time in the server, while running calls were in progress.
func (l *limit) observe(own time.Duration, running int) {
	l.calls++
	l.ownTime += own
	l.peak = max(l.peak, running)
}

// tick judges the window when it is long and full enough.
func (l *limit) tick(now time.Time) {
	span := now.Sub(l.windowStart)
	if span < limitWindow || (l.calls < minWindowCalls && span < 5*limitWindow) {
		return
	}
	if l.calls > 0 {
		l.judge(now, l.ownTime/time.Duration(l.calls), float64(l.calls)/span.Seconds())
	}
	l.windowStart = now
	l.calls, l.ownTime, l.peak = 0, 0, 0
}

func (l *limit) judge(now time.Time, own time.Duration, rate float64) {
	l.lastOwn = own
	if l.baseline == 0 || own < l.baseline {
		l.baseline = own
	}
	ratio := float64(own) / float64(max(l.baseline, 1))
	full := l.peak >= int(0.9*l.value)
	if l.cutFrom > 0 {
		l.settleCut(now, own, rate)
		return
	}
	switch {
	case ratio > inflatedRatio && full && !now.Before(l.holdUntil):
		l.cutFrom, l.cutRate = l.value, rate
		l.value = max(l.value*cutFactor, float64(l.floor))
	case ratio < calmRatio && full:
		l.value = min(l.value*growFactor+1, float64(l.slots))
	}
	l.baseline = time.Duration(float64(l.baseline) * baselineRise)
}

// settleCut keeps a cut that cost no throughput and undoes one that did.
func (l *limit) settleCut(now time.Time, own time.Duration, rate float64) {
	if rate < l.cutRate*freeCutShare {
		l.value = l.cutFrom
		l.baseline = own
		l.holdUntil = now.Add(holdAfterUndo)
	}
	l.cutFrom = 0
}
