package level

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// The law of a View: the weight of a new answer, the time after which an unrenewed level
// starts to fade, and the time in which it has faded.
const (
	gain      = 0.25
	fadeAfter = 150 * time.Millisecond
	fadeTime  = time.Second
)

// View holds the smoothed level per route; its zero value is empty and ready to use.
type View struct {
	routes sync.Map // string to *entry
}

type entry struct {
	level atomic.Uint64 // priority
	seen  atomic.Int64  // Unix nanoseconds of the last answer
}

// Observe takes in the level of one answer on the route.
func (v *View) Observe(now time.Time, route string, p priority.Priority) {
	x, ok := v.routes.Load(route)
	if !ok {
		if p == 0 {
			return
		}
		x, _ = v.routes.LoadOrStore(route, &entry{})
	}
	e := x.(*entry)
	old := e.current(now)
	next := float64(old) + gain*(float64(p)-float64(old))
	if p == 0 && next < priority.Span/256 {
		next = 0
	}
	e.level.Store(uint64(next))
	e.seen.Store(now.UnixNano())
}

// Current returns the level below which the route's calls would be refused.
func (v *View) Current(now time.Time, route string) priority.Priority {
	x, ok := v.routes.Load(route)
	if !ok {
		return 0
	}
	return x.(*entry).current(now)
}

func (e *entry) current(now time.Time) priority.Priority {
	p := float64(e.level.Load())
	if p == 0 {
		return 0
	}
	age := now.Sub(time.Unix(0, e.seen.Load())) - fadeAfter
	if age > 0 {
		p *= max(0, 1-float64(age)/float64(fadeTime))
	}
	return priority.Priority(p)
}

// All returns the levels by route that aren't zero.
func (v *View) All(now time.Time) map[string]priority.Priority {
	all := map[string]priority.Priority{}
	v.routes.Range(func(k, x any) bool {
		if p := x.(*entry).current(now); p > 0 {
			all[k.(string)] = p
		}
		return true
	})
	return all
}
