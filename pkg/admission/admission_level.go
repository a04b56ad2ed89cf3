package admission

import (
	"math"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// bucketBits makes 128 buckets of each tier.
const (
	bucketBits = 17
	buckets    = int(priority.Max>>bucketBits) + 1
	perTier    = priority.Span >> bucketBits
	step       = priority.Priority(1) << bucketBits
)

// The level's law.
const (
	// memory is the time in which half of the older arrivals and completions are forgotten.
	memory = 300 * time.Millisecond
	// fill is the share of the capacity that the level lets through.
	fill = 0.97
	// damping is the share of the spare capacity that one tick gives back.
	damping = 0.5
	// probeFirst and probeMost are the first and the largest step down into ranks or tiers of unknown
	// demand; the first is for an idle server, and less the busier it is.
	probeFirst = priority.Span / 8
	probeMost  = priority.Span / 2
	// leastSample is the count of remembered arrivals that tells how dense a tier is.
	leastSample = 3
	// leastDone is the count of remembered completions that tells the capacity of an overloaded server.
	leastDone = 4
)

// level is the priority below which calls are refused.
//
// It goes by rates: of arrivals, in a histogram by priority that fades, and of
// what the server can complete. While the server is overloaded the level is set
// so that what arrives above it fits. Otherwise it falls: ranks are spread
// evenly over a tier, so the arrivals seen above the level tell how many more a
// lower one would let in; where nothing is seen, it probes with steps that double.
type level struct {
	value    priority.Priority
	probe    priority.Priority
	arrivals [buckets]float64
	total    float64
	span     float64 // seconds of memory that the histogram holds
	done     float64 // completions remembered
}

// arrive notes a call by its priority, whether admitted or not.
func (v *level) arrive(p priority.Priority) {
	v.arrivals[bucketOf(p)]++
	v.total++
}

func bucketOf(p priority.Priority) int { return min(int(p>>bucketBits), buckets-1) }

// above returns the remembered arrivals a second at or above the priority.
func (v *level) above(p priority.Priority) float64 {
	sum := 0.0
	for b := bucketOf(p); b < buckets; b++ {
		sum += v.arrivals[b]
	}
	return sum / v.seconds()
}

func (v *level) seconds() float64 { return max(v.span, 0.05) }

// tick moves the level. capacity is what the server could complete a second by its limit and the time
// that calls hold a slot; 0 if that isn't known yet.
func (v *level) tick(overloaded bool, capacity float64) {
	switch {
	case overloaded:
		v.raise(v.believed(capacity) * fill)
		v.probe = 0
	case v.value > 0 && capacity > 0:
		v.lower(capacity * fill)
	}
}

// believed returns the capacity of an overloaded server. While a queue stands, what was completed is the
// capacity, whatever the times of past calls say, once enough was completed to tell.
func (v *level) believed(capacity float64) float64 {
	real := v.done / v.seconds()
	switch {
	case capacity == 0:
		return math.Inf(1)
	case v.done >= leastDone && real < capacity:
		return real
	default:
		return capacity
	}
}

// raise sets the level above which the arrivals fit into room calls a second, at least a step up.
func (v *level) raise(room float64) {
	sum := 0.0
	found := priority.Priority(0)
	for b := buckets - 1; b >= 0; b-- {
		sum += v.arrivals[b] / v.seconds()
		if sum > room {
			// Ranks are even within a bucket, so part of it may still fit.
			over := (sum - room) / (v.arrivals[b] / v.seconds())
			found = priority.Priority(b)<<bucketBits + priority.Priority(min(over, 1)*float64(step))
			break
		}
	}
	v.value = min(max(found, v.value+step), priority.Max)
}

// lower lets in as much more as there is room for.
func (v *level) lower(room float64) {
	spare := room - v.above(v.value)
	if spare <= 0 {
		v.probe = 0
		return
	}
	floor := priority.Floor(v.value.Tier())
	density := v.density()
	if density == 0 || v.value == floor {
		v.probeDown(spare / room)
		return
	}
	fall := priority.Priority(min(damping*spare/density, float64(priority.Span)))
	if v.value-floor <= fall {
		v.value = floor
		return
	}
	v.value -= max(fall, step/4)
}

// probeDown takes a step into a part whose demand isn't known, and doubles the next one.
func (v *level) probeDown(spareShare float64) {
	v.probe = max(v.probe, priority.Priority(spareShare*probeFirst), step)
	v.value -= min(v.probe, v.value)
	v.probe = min(2*v.probe, probeMost)
}

// density returns the arrivals a second for each unit of priority, as seen between the level and the end
// of its tier, or 0 if too few were seen.
func (v *level) density() float64 {
	top := priority.Floor(v.value.Tier()) + priority.Span
	seen := 0.0
	for b := bucketOf(v.value); b < bucketOf(v.value)/perTier*perTier+perTier && b < buckets; b++ {
		seen += v.arrivals[b]
	}
	if seen < leastSample {
		return 0
	}
	return seen / v.seconds() / float64(top-v.value)
}

// pass notes that time has passed, and forgets a part of what was seen before.
func (v *level) pass(elapsed time.Duration) {
	v.span += elapsed.Seconds()
	keep := math.Exp2(-float64(elapsed) / float64(memory))
	for b := range v.arrivals {
		v.arrivals[b] *= keep
	}
	v.total *= keep
	v.done *= keep
	v.span *= keep
}
