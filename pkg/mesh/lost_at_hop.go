package mesh

import (
	"net/http"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// lostAtOwnHop reports whether a request's final answer means that it was lost between this node and its server, rather
// than at a call that its server made. A route that makes calls, or isn't known yet, may fail or be late because of these,
// and then the loss is counted where the call began.
func (n *Node) lostAtOwnHop(q *request, a *answer) bool {
	switch {
	case a.reason == wire.ReasonQuarantined || a.reason == wire.ReasonSuspect:
		return false // refused for the request itself, which says nothing about others
	case a.outcome == wire.NotRun:
		return true
	case a.canceled:
		// A caller that leaves before the deadline, as one does whose own request was given up, says nothing about this hop.
		return n.makesNoCalls(q.Route) && q.deadline.Sub(n.clock.Now()) <= answerMargin
	case a.outcome == wire.Unknown:
		return true
	default:
		return a.status >= http.StatusInternalServerError && n.makesNoCalls(q.Route)
	}
}

// makesNoCalls reports whether the runs of a route are known to make no calls.
func (n *Node) makesNoCalls(route string) bool {
	p := n.plan.Load()
	if p == nil {
		return false
	}
	runs := 0.0
	for _, k := range p.runsPerRequest[route] {
		runs += k
	}
	return runs > 0 && runs < 1+callgraph.MinCallsPerRun
}
