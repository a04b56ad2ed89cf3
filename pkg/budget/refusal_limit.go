package budget

import "time"

// Parameters of the limit of refusals.
const (
	// maxRefusedShare is the share of a route's calls that may be refused for their reserves alone: a reserve is an estimate, and
	// only calls that run can correct it.
	maxRefusedShare = 0.5
	// refusalWindow is the time over which the share holds. Refusals come first in it, so that requests of several calls get
	// through in the rest: with refusals spread evenly, a wrong reserve left one of 250 requests of eight calls.
	refusalWindow = 2 * time.Second
	// maxCountedRoutes is the number of routes from which the counts are begun anew, since removed routes stay in them.
	maxCountedRoutes = 1000
)

// RefusalLimit counts calls and refusals by route. Its zero value is ready. It isn't safe for concurrent use.
type RefusalLimit struct {
	window int64 // number of the current window
	routes map[string]*refusals
}

// refusals are the calls of one route in the current window, and its arrivals in the one before.
type refusals struct{ before, arrived, refused int }

// Arrive counts a call of the route.
func (l *RefusalLimit) Arrive(now time.Time, route string) { l.at(now, route).arrived++ }

// TakeRefusal reports whether one more call of the route may be refused for its reserve alone, and counts it if so.
func (l *RefusalLimit) TakeRefusal(now time.Time, route string) bool {
	r := l.at(now, route)
	expected := r.before
	if expected == 0 {
		expected = r.arrived
	}
	if float64(r.refused+1) > maxRefusedShare*float64(expected) {
		return false
	}
	r.refused++
	return true
}

// at returns the counts of a route in the current window.
func (l *RefusalLimit) at(now time.Time, route string) *refusals {
	if w := now.UnixNano() / int64(refusalWindow); w != l.window || l.routes == nil {
		if l.routes == nil || len(l.routes) > maxCountedRoutes {
			l.routes = map[string]*refusals{}
		}
		for _, r := range l.routes {
			before := r.arrived
			if w != l.window+1 {
				before = 0
			}
			*r = refusals{before: before}
		}
		l.window = w
	}
	r := l.routes[route]
	if r == nil {
		r = &refusals{}
		l.routes[route] = r
	}
	return r
}
