package success

import (
	"math"
	"time"

	"github.com/rockspoke/rockspoke/pkg/loads"
)

// Parameters of a hop's success share.
const (
	// hopHalfLife is the time after which half of the counted calls have decayed. With less, the share of a route of 20 calls
	// a second is noise; with more, admission is limited for seconds after the losses ended.
	hopHalfLife = 1500 * time.Millisecond
	// minHopCalls is the number of counted calls below which a hop's success share is 1.
	minHopCalls = 30.0
	// priorCalls is the number of calls without loss that is added to the counted ones. It bounds the step at minHopCalls.
	priorCalls = 10.0
	// maxHopStep bounds the time that one set of reports counts for, as after a suspension of the VM.
	maxHopStep = time.Second
	// forgottenLosses is the number of counted losses below which a route isn't counted any more.
	forgottenLosses = 0.01
)

// hop is what was counted of one route's calls, decayed.
type hop struct{ begun, lost float64 }

// Hops holds the calls begun and lost by route, over all nodes, for the routes that lose calls. Its zero value has counted
// none; it isn't safe for concurrent use.
type Hops struct {
	routes  map[string]*hop
	updated time.Time
}

// Update counts the calls of the time since the last update, at the rates of the reports.
func (h *Hops) Update(now time.Time, reports []*loads.Report) {
	step := min(max(now.Sub(h.updated), 0), maxHopStep)
	if h.updated.IsZero() {
		step = 0
	}
	h.updated = now
	h.decay(step)
	h.addLosingRoutes(reports)
	if len(h.routes) == 0 {
		return
	}
	for _, r := range reports {
		for kind, e := range r.Entries {
			route, _ := loads.SplitKind(kind)
			if x := h.routes[route]; x != nil {
				x.begun += e.Total() * step.Seconds()
				x.lost += min(e.LostPerSecond(), e.Total()) * step.Seconds()
			}
		}
	}
}

// decay decays the counts by a time, and drops the routes that have lost no calls for long.
func (h *Hops) decay(d time.Duration) {
	keep := math.Exp2(-d.Seconds() / hopHalfLife.Seconds())
	for route, x := range h.routes {
		x.begun *= keep
		x.lost *= keep
		if x.lost < forgottenLosses {
			delete(h.routes, route)
		}
	}
}

// addLosingRoutes begins to count the routes of which reports have losses.
func (h *Hops) addLosingRoutes(reports []*loads.Report) {
	for _, r := range reports {
		for kind, e := range r.Entries {
			if e.Lost <= 0 {
				continue
			}
			if h.routes == nil {
				h.routes = map[string]*hop{}
			}
			if route, _ := loads.SplitKind(kind); h.routes[route] == nil {
				h.routes[route] = &hop{}
			}
		}
	}
}

// Share returns the share of a route's calls that aren't lost at their own hop, 1 if too few were counted. It isn't
// meaningful for routes of root requests, whose counts include requests that weren't admitted.
func (h *Hops) Share(route string) float64 {
	x := h.routes[route]
	if x == nil || x.begun < minHopCalls {
		return 1
	}
	return 1 - x.lost/(x.begun+priorCalls)
}
