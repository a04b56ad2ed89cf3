package level

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// Parameters of a View: the weight of a new answer, the time after which a level without new answers is stale,
// and the time in which a stale level decays to zero.
const (
	gain       = 0.5
	staleAfter = 150 * time.Millisecond
	decayTime  = time.Second
	// minLevel is the level below which a falling level is set to zero.
	minLevel = priority.TierSpan / 256
)

// Route identifies the calls of one class to one service.
type Route struct {
	Service string
	Class   string
}

// View holds the smoothed level per route; its zero value is empty and ready for concurrent use.
type View struct {
	services sync.Map // string to *service
}

// service holds the routes of one service. A refused class gets no answers, so its level depends on those of the
// other classes too, whose calls take the same path at least in part.
type service struct {
	classes sync.Map // string to *entry
}

// entry is the smoothed level of one route.
type entry struct {
	level      atomic.Uint32
	answeredAt atomic.Int64 // Unix nanoseconds of the last answer
}

// Observe adds the level p of an answer on the route. It replaces a stale level and is averaged with a recent one.
func (v *View) Observe(now time.Time, r Route, p priority.Priority) {
	e := v.entry(r)
	next := p
	if e.age(now) <= staleAfter {
		old := float64(e.level.Load())
		next = priority.Priority(old + gain*(float64(p)-old))
	}
	if p == 0 && next < minLevel {
		next = 0
	}
	e.level.Store(uint32(next))
	e.answeredAt.Store(now.UnixNano())
}

// entry returns the route's entry, which it creates if needed.
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

// Current returns the priority below which the route's calls would be refused, 0 for an unknown route. A stale level
// decays, but not below the highest level that recent answers of the service's other classes show.
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

// current returns the level of one route of the service; see View.Current.
func (s *service) current(now time.Time, e *entry) priority.Priority {
	last := priority.Priority(e.level.Load())
	age := e.age(now)
	if last == 0 || age <= staleAfter {
		return last
	}
	remaining := max(0, 1-float64(age-staleAfter)/float64(decayTime))
	decayed := priority.Priority(float64(last) * remaining)
	return min(last, max(decayed, s.highestRecent(now)))
}

// highestRecent returns the highest level among the service's routes with recent answers.
func (s *service) highestRecent(now time.Time) priority.Priority {
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

// age returns the time since the last answer on the route.
func (e *entry) age(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - e.answeredAt.Load())
}

// All returns the levels above zero, by "service/class".
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
