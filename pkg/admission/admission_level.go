package admission

import (
	"github.com/rockspoke/rockspoke/pkg/priority"
)

// bucketBits makes 128 buckets of each tier.
const (
	bucketBits = 17
	buckets    = int(priority.Max>>bucketBits) + 1
	step       = priority.Priority(1) << bucketBits
)

// The level's law: the share of what the server completed that is admitted next when it is
// overloaded, the use of the limit under which the level falls fast, and the largest step down.
const (
	overloadShare = 0.97
	idleUse       = 0.90
	maxFall       = priority.Span / 4
)

// level is the priority below which calls are refused.
//
// While the queue's delay exceeds its target, the level is set so that what
// arrives above it fits what the server was seen to complete. Otherwise the
// level falls: by one bucket while the server is nearly full, and by steps
// that double while it has room, so that recovery needs no outside signal.
type level struct {
	value    priority.Priority
	fall     priority.Priority
	arrivals [buckets]int32
	total    int
}

// arrive notes a call by its priority, whether admitted or not.
func (v *level) arrive(p priority.Priority) {
	v.arrivals[min(int(p>>bucketBits), buckets-1)]++
	v.total++
}

// tick moves the level after an interval in which the server completed done calls and used the given share of its limit.
func (v *level) tick(overloaded bool, done int, use float64) {
	switch {
	case overloaded:
		v.raise(int(float64(done) * overloadShare))
		v.fall = step
	case v.value > 0:
		v.lower(use)
	}
	if v.total > 0 {
		v.arrivals = [buckets]int32{}
		v.total = 0
	}
}

// raise finds the level above which the interval's arrivals fit into room calls.
func (v *level) raise(room int) {
	found := priority.Priority(0)
	sum := 0
	for b := buckets - 1; b >= 0; b-- {
		sum += int(v.arrivals[b])
		if sum > room {
			found = priority.Priority(b+1) << bucketBits
			break
		}
	}
	v.value = min(max(found, v.value+step), priority.Max)
}

func (v *level) lower(use float64) {
	if use >= idleUse {
		v.fall = step
	}
	v.value -= min(v.fall, v.value)
	if use < idleUse {
		v.fall = min(max(v.fall, step)*2, maxFall)
	}
}
