package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/loads"
)

// isInternalRoute tells whether only backend servers call the route, as far as it is known.
func (n *Node) isInternalRoute(route string) bool {
	p := n.plan.Load()
	return p != nil && p.inner[route]
}

// internalRoutes is which routes only backend servers call, as last judged; its zero value has judged none.
type internalRoutes struct {
	internal      map[string]bool
	restoredUntil map[string]time.Time // until when what was judged before the start holds
	version       int64                // desired state against which the routes were last held
}

// restoredDecisionTime is how long what was judged of a route before the start holds: runs that began before it, of which this
// node knows nothing, go on making calls, and the first rates are those of a few requests. Longer than most runs last.
const restoredDecisionTime = 3 * time.Second

// restore takes what was judged of a service's routes before the start, but for those that this node has judged itself.
func (j *internalRoutes) restore(now time.Time, l loads.Learned) {
	for route := range l.Calls {
		if _, judged := j.internal[route]; judged {
			continue
		}
		j.set(route, slices.Contains(l.Inner, route))
		if j.restoredUntil == nil {
			j.restoredUntil = map[string]time.Time{}
		}
		j.restoredUntil[route] = now.Add(restoredDecisionTime)
	}
}

func (j *internalRoutes) set(route string, called bool) {
	if j.internal == nil {
		j.internal = map[string]bool{}
	}
	j.internal[route] = called
}

// update works it out anew, and returns the routes that are judged otherwise than before. What was judged of a route holds
// while nobody asks for it.
func (j *internalRoutes) update(now time.Time, origins loads.Origins) []string {
	var changed []string
	for route, is := range origins.Called(func(route string) bool { return j.internal[route] }) {
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

// updateInternalRoutes works out anew which routes only backend servers call.
func (n *Node) updateInternalRoutes(now time.Time) {
	j := &n.control.judged
	for _, route := range j.update(now, n.currentOrigins()) {
		n.controlLog.Info("route judged", "route", route, "called_by_servers_only", j.internal[route])
	}
	j.forgetRemoved(n.state.Load())
}

// currentOrigins returns what the reports tell of where requests begin.
func (n *Node) currentOrigins() loads.Origins {
	all := loads.Origins{}
	for _, r := range n.control.reports {
		all.Add(n.cfg.Zone, &r.Report)
	}
	for zone, z := range n.control.zones {
		for i := range z.services {
			all.Add(zone, &z.services[i].Load)
		}
	}
	return all
}
