package overload

import (
	"math"
	"time"
)

// rateHalfLife is the time after which half of what was counted has decayed: long enough to count some requests of a rare
// kind, short enough to follow a surge within a second or two.
const rateHalfLife = 700 * time.Millisecond

// DecayingRate is an exponentially decaying rate per second; its zero value has counted nothing.
type DecayingRate struct {
	sum  float64
	span float64 // decayed seconds of observation
	last time.Time
}

// Add counts n events at now.
func (r *DecayingRate) Add(now time.Time, n float64) {
	r.decayTo(now)
	r.sum += n
}

// PerSecond returns the rate of events a second as of now.
func (r *DecayingRate) PerSecond(now time.Time) float64 {
	r.decayTo(now)
	return r.sum / max(r.span, minSpan)
}

// minSpan is the shortest observation in seconds that a rate is computed over: clients that waited for a start all arrive
// in its first moment.
const minSpan = 0.5

// reliable reports whether the observation spans at least minSpan.
func (r *DecayingRate) reliable() bool { return r.span >= minSpan }

func (r *DecayingRate) decayTo(now time.Time) {
	if r.last.IsZero() {
		r.last = now
		return
	}
	d := now.Sub(r.last)
	if d <= 0 {
		return
	}
	r.last = now
	keep := math.Exp2(-float64(d) / float64(rateHalfLife))
	r.sum *= keep
	r.span = r.span*keep + rateHalfLife.Seconds()/math.Ln2*(1-keep)
}
