package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/loads"
)

// isInternalRoute reports whether only backend servers call the route, as far as is known.
func (n *Node) isInternalRoute(route string) bool {
	p := n.plan.Load()
	return p != nil && p.internalRoutes[route]
}

// internalRoutes records for each route whether only backend servers call it. Its zero value knows no route.
type internalRoutes struct {
	internal      map[string]bool
	restoredUntil map[string]time.Time // when decisions from before the start expire
	version       int64                // version of the desired state that the routes were last checked against
}

// restoredDecisionTime is how long decisions from before the start stay in force. Runs that began before the start,
// which this node doesn't know, still make calls, and the first rates come from only a few requests. It is longer than
// most runs last.
const restoredDecisionTime = 3 * time.Second

// restore restores the decisions from before the start about a service's routes, except for routes that this node has
// already decided.
func (r *internalRoutes) restore(now time.Time, l loads.Learned) {
	for route := range l.CallsPerRun {
		if _, known := r.internal[route]; known {
			continue
		}
		r.set(route, slices.Contains(l.InternalRoutes, route))
		if r.restoredUntil == nil {
			r.restoredUntil = map[string]time.Time{}
		}
		r.restoredUntil[route] = now.Add(restoredDecisionTime)
	}
}

// set records the decision about a route.
func (r *internalRoutes) set(route string, internal bool) {
	if r.internal == nil {
		r.internal = map[string]bool{}
	}
	r.internal[route] = internal
}

// update decides all routes again from the origins of requests and returns the routes whose decision changed. A route
// without requests keeps its decision.
func (r *internalRoutes) update(now time.Time, origins loads.Origins) []string {
	var changed []string
	for route, internal := range origins.InternalRoutes(func(route string) bool { return r.internal[route] }) {
		if now.Before(r.restoredUntil[route]) {
			continue
		}
		delete(r.restoredUntil, route)
		if internal != r.internal[route] {
			changed = append(changed, route)
		}
		r.set(route, internal)
	}
	return changed
}

// dropRemoved drops the routes that a new desired state lacks.
func (r *internalRoutes) dropRemoved(state *desired.State) {
	if state == nil || state.Version == r.version {
		return
	}
	r.version = state.Version
	maps.DeleteFunc(r.internal, func(route string, _ bool) bool { return !state.HasRoute(route) })
}

// updateInternalRoutes decides again which routes only backend servers call, by the sums of each zone.
func (n *Node) updateInternalRoutes(now time.Time, sums map[string][]*loads.Report) {
	r := &n.control.internalRoutes
	for _, route := range r.update(now, originsOf(sums)) {
		n.controlLog.Info("internal route status changed", "route", route, "called_by_servers_only", r.internal[route])
	}
	r.dropRemoved(n.state.Load())
}

// originsOf returns where requests begin, by the sums of each zone.
func originsOf(sums map[string][]*loads.Report) loads.Origins {
	all := loads.Origins{}
	for zone, reports := range sums {
		for _, r := range reports {
			all.AddReport(zone, r)
		}
	}
	return all
}
