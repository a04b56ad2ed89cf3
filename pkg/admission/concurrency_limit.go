package admission

import "time"

// limitWindow is the shortest measurement window after which the limit is adjusted.
const limitWindow = 200 * time.Millisecond

// Parameters that adjust the limit: the ratios of own time to its baseline that count as inflated and as normal,
// the factors of a cut and of growth per window, the fraction of the throughput that a cut must preserve to be kept,
// the calls that fill a window, and the time without cuts after one was undone.
const (
	inflatedRatio     = 1.6
	normalRatio       = 1.25
	cutFactor         = 0.8
	growFactor        = 1.08
	minKeptThroughput = 0.93
	minWindowCalls    = 20
	noCutsAfterUndo   = 10 * limitWindow
	// baselineGrowth raises the baseline in each window, so that it follows a service that has become permanently slower.
	baselineGrowth = 1.01
)

// limit adapts the number of calls that a backend server may run concurrently.
//
// A rise of own time alone doesn't show whether the server has too many
// concurrent calls or is slower at any load. So the limit tries a cut and
// compares the throughput: if the throughput held, there were too many calls
// and the cut is kept; if it fell with the limit, the server is slower at any
// load, the cut is undone and the present own time becomes the baseline.
type limit struct {
	slots int
	floor int
	value float64

	start time.Time
	ramp  time.Duration

	windowStart time.Time
	calls       int
	ownTime     time.Duration
	peakRunning int

	baseline     time.Duration
	meanOwnTime  time.Duration
	cutFrom      float64 // value before a cut that is under evaluation, else 0
	cutRate      float64 // completions per second before that cut
	noCutsBefore time.Time
}

// newLimit returns a limit that starts at slots, or at a tenth of them and rising during the cold start ramp.
func newLimit(slots, floor int, ramp time.Duration, now time.Time) limit {
	slots = max(slots, 1)
	floor = min(max(floor, 1), slots)
	return limit{
		slots: slots, floor: floor, value: float64(slots),
		start: now, ramp: ramp, windowStart: now,
	}
}

// current returns the number of calls that may run concurrently, with the cold start ramp applied.
func (l *limit) current(now time.Time) int {
	v := l.value
	if age := now.Sub(l.start); age < l.ramp {
		fraction := 0.1 + 0.9*float64(age)/float64(l.ramp)
		v = min(v, fraction*float64(l.slots))
	}
	return max(int(v+0.5), l.floor)
}

// observe records one call that ended after own time in the server, while running calls were in progress.
func (l *limit) observe(own time.Duration, running int) {
	l.calls++
	l.ownTime += own
	l.peakRunning = max(l.peakRunning, running)
}

// tick adjusts the limit and begins a new window if the present one is long enough and has enough calls.
func (l *limit) tick(now time.Time) {
	span := now.Sub(l.windowStart)
	if span < limitWindow || (l.calls < minWindowCalls && span < 5*limitWindow) {
		return
	}
	if l.calls > 0 {
		l.adjust(now, l.ownTime/time.Duration(l.calls), float64(l.calls)/span.Seconds())
	}
	l.windowStart = now
	l.calls, l.ownTime, l.peakRunning = 0, 0, 0
}

// adjust updates the limit and the baseline at the end of a window. own is the mean own time of its calls, and rate the
// completions per second.
func (l *limit) adjust(now time.Time, own time.Duration, rate float64) {
	l.meanOwnTime = own
	if l.baseline == 0 || own < l.baseline {
		l.baseline = own
	}
	ratio := float64(own) / float64(max(l.baseline, 1))
	limitReached := l.peakRunning >= int(0.9*l.value)
	if l.cutFrom > 0 {
		l.evaluateCut(now, own, rate)
		return
	}
	switch {
	case ratio > inflatedRatio && limitReached && !now.Before(l.noCutsBefore):
		l.cutFrom, l.cutRate = l.value, rate
		l.value = max(l.value*cutFactor, float64(l.floor))
	case ratio < normalRatio && limitReached:
		l.value = min(l.value*growFactor+1, float64(l.slots))
	}
	l.baseline = time.Duration(float64(l.baseline) * baselineGrowth)
}

// evaluateCut keeps a cut that preserved the throughput and undoes one that reduced it.
func (l *limit) evaluateCut(now time.Time, own time.Duration, rate float64) {
	if rate < l.cutRate*minKeptThroughput {
		l.value = l.cutFrom
		l.baseline = own
		l.noCutsBefore = now.Add(noCutsAfterUndo)
	}
	l.cutFrom = 0
}
