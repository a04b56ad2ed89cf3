package admission

import (
	"math"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// The arrival histogram has 128 buckets for each tier.
const (
	bucketBits     = 17
	buckets        = int(priority.Max>>bucketBits) + 1
	bucketsPerTier = priority.TierSpan >> bucketBits
	bucketWidth    = priority.Priority(1) << bucketBits
)

// Parameters that adjust the level.
const (
	// minHalfLife and maxHalfLife bound the half-life of the counts of arrivals and completions. The half-life
	// is twice the slot hold time of a call.
	minHalfLife = 150 * time.Millisecond
	maxHalfLife = 400 * time.Millisecond
	// targetUtilization is the fraction of the capacity up to which calls are admitted.
	targetUtilization = 1.0
	// damping is the fraction of the spare capacity that one lowering of the level admits.
	damping = 0.8
	// firstProbeStep and maxProbeStep are the first and the largest step by which the level falls into ranks or tiers
	// of unknown demand. The first step applies to an idle server; a busier server gets a smaller one.
	firstProbeStep = priority.TierSpan / 8
	maxProbeStep   = priority.TierSpan / 2
	// minArrivals is the smallest decayed count of arrivals from which the arrival density of a tier is estimated.
	minArrivals = 3
	// minCompletions is the smallest decayed count of completions from which the capacity of an overloaded server is estimated.
	minCompletions = 4
)

// level is the priority below which calls are refused.
//
// It depends on two rates: the arrival rate, from a decaying histogram by
// priority, and the rate at which the server can complete calls. While the
// server is overloaded, the level is set so that the arrivals above it fit the
// capacity. Otherwise it falls: ranks are spread evenly over a tier, so the
// arrivals above the level show how many more a lower level would admit. Where
// there were no arrivals, the level falls by probe steps that double.
type level struct {
	value        priority.Priority
	probe        priority.Priority // size of the next probe step
	arrivals     [buckets]float64
	completions  float64   // decayed count
	windowLength float64   // seconds of arrivals in the histogram, decayed, as of the last decay
	decayedAt    time.Time // time of the last decay
}

// countArrival counts a call with priority p, whether it is admitted or not.
func (v *level) countArrival(p priority.Priority) {
	v.arrivals[bucketOf(p)]++
}

// bucketOf returns the histogram bucket of priority p.
func bucketOf(p priority.Priority) int { return min(int(p>>bucketBits), buckets-1) }

// windowSeconds returns the length in seconds of the decayed window that the histogram covers at now.
func (v *level) windowSeconds(now time.Time) float64 {
	return max(v.windowLength+now.Sub(v.decayedAt).Seconds(), 0.02)
}

// raiseOverloaded raises the level of an overloaded server. capacity is the calls per second that the server could
// complete by its limit and the slot hold time of calls; 0 if that isn't known yet.
func (v *level) raiseOverloaded(now time.Time, capacity float64) {
	v.raiseToFit(now, v.effectiveCapacity(now, capacity)*targetUtilization)
	v.probe = 0
}

// effectiveCapacity returns the capacity of an overloaded server in calls per second. While a queue persists, the
// completion rate is the capacity if it is below the given estimate and enough calls have completed. It returns
// infinity if the given capacity is 0.
func (v *level) effectiveCapacity(now time.Time, capacity float64) float64 {
	measured := v.completions / v.windowSeconds(now)
	switch {
	case capacity == 0:
		return math.Inf(1)
	case v.completions >= minCompletions && measured < capacity:
		return measured
	default:
		return capacity
	}
}

// raiseToFit sets the level so that the arrivals above it fit into capacity calls per second; the level rises by at least one bucket.
func (v *level) raiseToFit(now time.Time, capacity float64) {
	sum := 0.0
	found := priority.Priority(0)
	for b := buckets - 1; b >= 0; b-- {
		rate := v.arrivals[b] / v.windowSeconds(now)
		sum += rate
		if sum > capacity {
			// Ranks are uniform within a bucket, so part of the bucket may still fit.
			over := (sum - capacity) / rate
			found = priority.Priority(b)<<bucketBits + priority.Priority(min(over, 1)*float64(bucketWidth))
			break
		}
	}
	v.value = min(max(found, v.value+bucketWidth), priority.Max)
}

// lower reduces the level of a server with spare capacity. spare is the calls per second that the server could
// take beyond its present load, and capacity all that it can take in calls per second.
func (v *level) lower(now time.Time, spare, capacity float64) {
	if v.value == 0 {
		return
	}
	if spare <= 0 {
		v.probe = 0
		return
	}
	floor := priority.Floor(v.value.Tier())
	arrivalDensity := v.arrivalDensity(now)
	if arrivalDensity == 0 || v.value == floor {
		v.probeDown(spare / capacity)
		return
	}
	decrease := priority.Priority(min(damping*spare/arrivalDensity, float64(priority.TierSpan)))
	if v.value-floor <= decrease {
		v.value = floor
		return
	}
	v.value -= max(decrease, bucketWidth/4)
}

// probeDown lowers the level by one step into priorities of unknown demand, and doubles the next step.
// spareFraction is the spare fraction of the capacity.
func (v *level) probeDown(spareFraction float64) {
	v.probe = max(v.probe, priority.Priority(spareFraction*firstProbeStep), bucketWidth)
	v.value -= min(v.probe, v.value)
	v.probe = min(2*v.probe, maxProbeStep)
}

// arrivalDensity returns the arrivals per second and unit of priority between the level and the end of its tier, or 0
// if there were too few to estimate it.
func (v *level) arrivalDensity(now time.Time) float64 {
	top := priority.Floor(v.value.Tier()) + priority.TierSpan
	arrivals := 0.0
	for b := bucketOf(v.value); b < bucketOf(v.value)/bucketsPerTier*bucketsPerTier+bucketsPerTier && b < buckets; b++ {
		arrivals += v.arrivals[b]
	}
	if arrivals < minArrivals {
		return 0
	}
	return arrivals / v.windowSeconds(now) / float64(top-v.value)
}

// decay reduces the counts of arrivals and completions for the time since the last decay. slotHold is the slot hold time
// of a call, from which the half-life follows.
func (v *level) decay(now time.Time, slotHold time.Duration) {
	elapsed := now.Sub(v.decayedAt)
	halfLife := min(max(2*slotHold, minHalfLife), maxHalfLife)
	remaining := math.Exp2(-float64(elapsed) / float64(halfLife))
	v.windowLength = (v.windowLength + elapsed.Seconds()) * remaining
	v.decayedAt = now
	v.completions *= remaining
	for b := range v.arrivals {
		v.arrivals[b] *= remaining
	}
}
