package level

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// The law of a View: the weight of a new answer, the time after which an unrenewed level is stale, and the
// time in which a stale level fades.
const (
	gain       = 0.5
	staleAfter = 150 * time.Millisecond
	fadeTime   = time.Second
	// least is the level under which a fall goes on to zero.
	least = priority.TierSpan / 256
)

// Route names calls of one class to one service.
type Route struct {
	Service string
	Class   string
}

// View holds the smoothed level per route; its zero value is empty and ready for concurrent use.
type View struct {
	services sync.Map // string to *service
}

// service holds the routes of one service. A class that is refused brings no answers, so its level is
// judged by those of the other classes too, which go the same way at least in part.
type service struct {
	classes sync.Map // string to *entry
}

type entry struct {
	level atomic.Uint32
	seen  atomic.Int64 // Unix nanoseconds of the last answer
}

// Observe takes in the level of one answer on the route.
func (v *View) Observe(now time.Time, r Route, p priority.Priority) {
	e := v.entry(r)
	next := p
	if e.age(now) <= staleAfter {
		old := float64(e.level.Load())
		next = priority.Priority(old + gain*(float64(p)-old))
	}
	if p == 0 && next < least {
		next = 0
	}
	e.level.Store(uint32(next))
	e.seen.Store(now.UnixNano())
}

func (v *View) entry(r Route) *entry {
	s, ok := v.services.Load(r.Service)
	if !ok {
		s, _ = v.services.LoadOrStore(r.Service, &service{})
	}
	e, ok := s.(*service).classes.Load(r.Class)
	if !ok {
		e, _ = s.(*service).classes.LoadOrStore(r.Class, &entry{})
	}
	return e.(*entry)
}

// Current returns the level below which the route's calls would be refused. A stale level fades, but not
// below what fresh answers of other classes to the service show.
func (v *View) Current(now time.Time, r Route) priority.Priority {
	x, ok := v.services.Load(r.Service)
	if !ok {
		return 0
	}
	s := x.(*service)
	y, ok := s.classes.Load(r.Class)
	if !ok {
		return 0
	}
	return s.current(now, y.(*entry))
}

func (s *service) current(now time.Time, e *entry) priority.Priority {
	own := priority.Priority(e.level.Load())
	age := e.age(now)
	if own == 0 || age <= staleAfter {
		return own
	}
	left := max(0, 1-float64(age-staleAfter)/float64(fadeTime))
	faded := priority.Priority(float64(own) * left)
	return min(own, max(faded, s.fresh(now)))
}

// fresh returns the highest level among the routes with recent answers.
func (s *service) fresh(now time.Time) priority.Priority {
	high := priority.Priority(0)
	s.classes.Range(func(_, y any) bool {
		e := y.(*entry)
		if e.age(now) <= staleAfter {
			high = max(high, priority.Priority(e.level.Load()))
		}
		return true
	})
	return high
}

func (e *entry) age(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - e.seen.Load())
}

// All returns the levels that aren't zero, by service and class.
func (v *View) All(now time.Time) map[string]priority.Priority {
	all := map[string]priority.Priority{}
	v.services.Range(func(name, x any) bool {
		s := x.(*service)
		s.classes.Range(func(class, y any) bool {
			if p := s.current(now, y.(*entry)); p > 0 {
				all[name.(string)+"/"+class.(string)] = p
			}
			return true
		})
		return true
	})
	return all
}
