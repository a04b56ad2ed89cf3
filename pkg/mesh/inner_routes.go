package mesh

import (
	"maps"
	"time"

	"github.com/rockspoke/rockspoke/pkg/loads"
)

// isInner tells whether only backend servers call the route, as far as it is known.
func (n *Node) isInner(route string) bool {
	p := n.plan.Load()
	return p != nil && p.inner[route]
}

// judgeInner works out anew which routes only backend servers call. What was judged of a route holds while nobody asks
// for it, as long as it is in the desired state.
func (n *Node) judgeInner(now time.Time) {
	for route, is := range n.originsNow().Called(func(route string) bool { return n.control.inner[route] }) {
		if now.Before(n.control.innerHeld[route]) {
			continue
		}
		delete(n.control.innerHeld, route)
		if is != n.control.inner[route] {
			n.controlLog.Info("route judged", "route", route, "called_by_servers_only", is)
		}
		n.control.inner[route] = is
	}
	n.forgetInner()
}

// forgetInner forgets routes that a new desired state lacks.
func (n *Node) forgetInner() {
	state := n.state.Load()
	if state == nil || state.Version == n.control.innerState {
		return
	}
	n.control.innerState = state.Version
	maps.DeleteFunc(n.control.inner, func(route string, _ bool) bool { return !state.HasRoute(route) })
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
