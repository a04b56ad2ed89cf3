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
	perTier    = priority.TierSpan >> bucketBits
	step       = priority.Priority(1) << bucketBits
)

// The level's law.
const (
	// memoryLeast and memoryMost bound the time in which half of the older arrivals and completions are
	// forgotten; it is twice the time that a call holds its slot.
	memoryLeast = 150 * time.Millisecond
	memoryMost  = 400 * time.Millisecond
	// fill is the share of the capacity that the level lets through.
	fill = 1.0
	// damping is the share of the spare capacity that one tick gives back.
	damping = 0.8
	// probeFirst and probeMost are the first and the largest step down into ranks or tiers of unknown
	// demand; the first is for an idle server, and less the busier it is.
	probeFirst = priority.TierSpan / 8
	probeMost  = priority.TierSpan / 2
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
	done     float64   // completions remembered
	span     float64   // seconds that the histogram remembered when time last passed
	passed   time.Time // when that was
}

// arrive notes a call by its priority, whether admitted or not.
func (v *level) arrive(p priority.Priority) {
	v.arrivals[bucketOf(p)]++
}

func bucketOf(p priority.Priority) int { return min(int(p>>bucketBits), buckets-1) }

// seconds returns how much time the histogram remembers at now.
func (v *level) seconds(now time.Time) float64 {
	return max(v.span+now.Sub(v.passed).Seconds(), 0.02)
}

// raiseFor moves the level of an overloaded server up. capacity is what the server could complete a second
// by its limit and the time that calls hold a slot; 0 if that isn't known yet.
func (v *level) raiseFor(now time.Time, capacity float64) {
	v.raise(now, v.believed(now, capacity)*fill)
	v.probe = 0
}

// believed returns the capacity of an overloaded server. While a queue stands, what was completed is the
// capacity, whatever the times of past calls say, once enough was completed to tell.
func (v *level) believed(now time.Time, capacity float64) float64 {
	real := v.done / v.seconds(now)
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
func (v *level) raise(now time.Time, room float64) {
	sum := 0.0
	found := priority.Priority(0)
	for b := buckets - 1; b >= 0; b-- {
		rate := v.arrivals[b] / v.seconds(now)
		sum += rate
		if sum > room {
			// Ranks are even within a bucket, so part of it may still fit.
			over := (sum - room) / rate
			found = priority.Priority(b)<<bucketBits + priority.Priority(min(over, 1)*float64(step))
			break
		}
	}
	v.value = min(max(found, v.value+step), priority.Max)
}

// lower lets in more where the server has room: spare is the calls a second that it could take beyond
// those that it has, and room all that it can take.
func (v *level) lower(now time.Time, spare, room float64) {
	if v.value == 0 {
		return
	}
	if spare <= 0 {
		v.probe = 0
		return
	}
	floor := priority.Floor(v.value.Tier())
	density := v.density(now)
	if density == 0 || v.value == floor {
		v.probeDown(spare / room)
		return
	}
	fall := priority.Priority(min(damping*spare/density, float64(priority.TierSpan)))
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
func (v *level) density(now time.Time) float64 {
	top := priority.Floor(v.value.Tier()) + priority.TierSpan
	seen := 0.0
	for b := bucketOf(v.value); b < bucketOf(v.value)/perTier*perTier+perTier && b < buckets; b++ {
		seen += v.arrivals[b]
	}
	if seen < leastSample {
		return 0
	}
	return seen / v.seconds(now) / float64(top-v.value)
}

// pass notes that time has passed, and forgets a part of what was seen before. hold is the time for which
// a call holds its slot.
func (v *level) pass(now time.Time, hold time.Duration) {
	elapsed := now.Sub(v.passed)
	memory := min(max(2*hold, memoryLeast), memoryMost)
	keep := math.Exp2(-float64(elapsed) / float64(memory))
	v.span = (v.span + elapsed.Seconds()) * keep
	v.passed = now
	v.done *= keep
	for b := range v.arrivals {
		v.arrivals[b] *= keep
	}
}
