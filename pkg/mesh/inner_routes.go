package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/loads"
)

// isInner tells whether only backend servers call the route, as far as it is known.
func (n *Node) isInner(route string) bool {
	p := n.plan.Load()
	return p != nil && p.internalRoutes[route]
}

// judgedRoutes is which routes only backend servers call, as last judged; its zero value has judged none.
type judgedRoutes struct {
	called  map[string]bool
	held    map[string]time.Time // until when what was judged before the start holds
	version int64                // desired state against which the routes were last held
}

// judgedBefore is how long what was judged of a route before the start holds: runs that began before it, of which this
// node knows nothing, go on making calls, and the first rates are those of a few requests. Longer than most runs last.
const judgedBefore = 3 * time.Second

// recall takes what was judged of a service's routes before the start, but for those that this node has judged itself.
func (j *judgedRoutes) recall(now time.Time, l loads.Learned) {
	for route := range l.Calls {
		if _, judged := j.called[route]; judged {
			continue
		}
		j.set(route, slices.Contains(l.Inner, route))
		if j.held == nil {
			j.held = map[string]time.Time{}
		}
		j.held[route] = now.Add(judgedBefore)
	}
}

func (j *judgedRoutes) set(route string, called bool) {
	if j.called == nil {
		j.called = map[string]bool{}
	}
	j.called[route] = called
}

// judge works it out anew, and returns the routes that are judged otherwise than before. What was judged of a route holds
// while nobody asks for it.
func (j *judgedRoutes) judge(now time.Time, origins loads.Origins) []string {
	var changed []string
	for route, is := range origins.Called(func(route string) bool { return j.called[route] }) {
		if now.Before(j.held[route]) {
			continue
		}
		delete(j.held, route)
		if is != j.called[route] {
			changed = append(changed, route)
		}
		j.set(route, is)
	}
	return changed
}

// forget drops the routes that a new desired state lacks.
func (j *judgedRoutes) forget(state *desired.State) {
	if state == nil || state.Version == j.version {
		return
	}
	j.version = state.Version
	maps.DeleteFunc(j.called, func(route string, _ bool) bool { return !state.HasRoute(route) })
}

// judgeRoutes works out anew which routes only backend servers call.
func (n *Node) judgeRoutes(now time.Time) {
	j := &n.control.judged
	for _, route := range j.judge(now, n.originsNow()) {
		n.controlLog.Info("route judged", "route", route, "called_by_servers_only", j.called[route])
	}
	j.forget(n.state.Load())
}

// originsNow returns what the reports tell of where requests begin.
func (n *Node) originsNow() loads.Origins {
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
