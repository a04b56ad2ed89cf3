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

// recall takes over the decisions from before the start about a service's routes, except for routes that this node has
// already decided.
func (j *internalRoutes) recall(now time.Time, l loads.Learned) {
	for route := range l.CallsPerRun {
		if _, known := j.internal[route]; known {
			continue
		}
		j.set(route, slices.Contains(l.InternalRoutes, route))
		if j.restoredUntil == nil {
			j.restoredUntil = map[string]time.Time{}
		}
		j.restoredUntil[route] = now.Add(restoredDecisionTime)
	}
}

func (j *internalRoutes) set(route string, internal bool) {
	if j.internal == nil {
		j.internal = map[string]bool{}
	}
	j.internal[route] = internal
}

// update decides all routes again from the origins of requests and returns the routes whose decision changed. A route
// without requests keeps its decision.
func (j *internalRoutes) update(now time.Time, origins loads.Origins) []string {
	var changed []string
	for route, is := range origins.InternalRoutes(func(route string) bool { return j.internal[route] }) {
		if now.Before(j.restoredUntil[route]) {
			continue
		}
		delete(j.restoredUntil, route)
		if is != j.internal[route] {
			changed = append(changed, route)
		}
		j.set(route, is)
	}
	return changed
}

// forgetRemoved drops the routes that a new desired state lacks.
func (j *internalRoutes) forgetRemoved(state *desired.State) {
	if state == nil || state.Version == j.version {
		return
	}
	j.version = state.Version
	maps.DeleteFunc(j.internal, func(route string, _ bool) bool { return !state.HasRoute(route) })
}

// updateInternalRoutes decides again which routes only backend servers call.
func (n *Node) updateInternalRoutes(now time.Time) {
	j := &n.control.internalRoutes
	for _, route := range j.update(now, n.currentOrigins()) {
		n.controlLog.Info("internal route status changed", "route", route, "called_by_servers_only", j.internal[route])
	}
	j.forgetRemoved(n.state.Load())
}

// currentOrigins returns where requests begin, by the current reports of this zone and sums of the others.
func (n *Node) currentOrigins() loads.Origins {
	all := loads.Origins{}
	for _, r := range n.control.reports {
		all.AddReport(n.cfg.Zone, &r.Report)
	}
	for zone, z := range n.control.zoneLoads {
		for i := range z.services {
			all.AddReport(zone, &z.services[i].Load)
		}
	}
	return all
}
