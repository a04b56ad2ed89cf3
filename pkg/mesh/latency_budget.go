package mesh

import (
	"net/http"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/budget"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// noteCall notes a call of the local backend server, and sets its reserve.
func (n *Node) noteCall(q *request) {
	now := n.clock.Now()
	n.stats.noteCall(now, q.Route, q.clientDeadline)
	if n.off[settings.LatencyBudgets] {
		return
	}
	n.stats.mu.Lock()
	defer n.stats.mu.Unlock()
	q.reserve = n.stats.times.ForCall(&n.stats.learner, now, q.Route, q.clientDeadline, n.gatesPerCall)
}

// gatesPerCall returns how many gates a call of the route passes in all, its own calls included, or 0 if it isn't known.
func (n *Node) gatesPerCall(route string) float64 {
	if p := n.plan.Load(); p != nil {
		return p.gatesPerCall[route]
	}
	return 0
}

// callsBelow returns how many calls one run of the request causes.
func (n *Node) callsBelow(q *request) float64 {
	if q.reserve.Time <= 0 {
		return 0 // it isn't used
	}
	return max(n.gatesPerCall(q.Route)-1, 0)
}

// readReserve reads the reserve that the sender of a call states.
func (n *Node) readReserve(q *request, r *http.Request) {
	v := r.Header.Get(headerReserve)
	if v == "" || !q.Internal || n.off[settings.LatencyBudgets] {
		return
	}
	q.reserve = budget.Parse(v).AtMost(q.deadline.Sub(n.clock.Now()))
}

// isHopeless reports whether the request that a call belongs to couldn't end in time even if the call ran at once at a usual server.
func (n *Node) isHopeless(q *request) bool {
	return q.reserve.Time > 0 && q.deadline.Sub(n.clock.Now())-q.reserve.Time <= n.slotHoldTime(q.Route)
}

// learnTime records how long a successful request took from its beginning at this node.
func (n *Node) learnTime(q *request, a *answer, took time.Duration) {
	if a.status >= http.StatusInternalServerError {
		return
	}
	n.stats.mu.Lock()
	defer n.stats.mu.Unlock()
	n.stats.times.ObserveCall(q.Route, took)
}

// learnStreamTime records how long a request with a streamed answer took from its beginning at this node to the end of the answer.
func (n *Node) learnStreamTime(q *request, took time.Duration) {
	n.stats.mu.Lock()
	defer n.stats.mu.Unlock()
	n.stats.times.ObserveStream(q.Route, took)
}

// refuseShortRoot reports whether a client's request is refused since it has less time left than nearly all requests of its route
// take, and counts it.
func (n *Node) refuseShortRoot(q *request) bool {
	if q.Internal || n.off[settings.LatencyBudgets] {
		return false
	}
	now := n.clock.Now()
	n.stats.mu.Lock()
	n.stats.shortRoots.Arrive(now, q.Route)
	short := n.stats.times.Short(q.Route)
	left := q.deadline.Sub(now)
	refused := left < short && n.stats.shortRoots.TakeRefusal(now, q.Route)
	n.stats.mu.Unlock()
	if refused {
		n.noteBudgetRefusal(q, "entry", left)
	}
	return refused
}

// overloadReason returns the reason for which a gate's decision counts as evidence of overload. A request that was too late after it
// had been queued counts like one that the full queue rejected; one that arrived too late shows nothing about this server.
func (n *Node) overloadReason(d gate.Decision, queued bool) wire.Reason {
	if d.Reason == wire.ReasonDeadline && queued && !n.off[settings.LatencyBudgets] {
		return wire.ReasonQueue
	}
	return d.Reason
}

// noteReserveRefusal counts a call that the gate refused only for its reserve.
func (n *Node) noteReserveRefusal(q *request, d gate.Decision) {
	if d.ForReserve {
		n.noteBudgetRefusal(q, "gate", q.deadline.Sub(n.clock.Now()))
	}
}

// budgetLogPeriod is the time between log lines about requests refused for their budget: under overload there are hundreds a second.
const budgetLogPeriod = time.Second

// budgetLog limits the log lines about requests refused for their budget.
type budgetLog struct {
	mu      sync.Mutex
	next    time.Time
	refused int // since the last line
}

// noteBudgetRefusal counts a request refused for its budget, and logs one a period.
func (n *Node) noteBudgetRefusal(q *request, place string, left time.Duration) {
	n.metrics.count("budget_refused_total", "route", q.Route, "place", place)
	now := n.clock.Now()
	n.budgetLog.mu.Lock()
	n.budgetLog.refused++
	due, refused := !now.Before(n.budgetLog.next), n.budgetLog.refused
	if due {
		n.budgetLog.next, n.budgetLog.refused = now.Add(budgetLogPeriod), 0
	}
	n.budgetLog.mu.Unlock()
	if due {
		n.callLog.Info("refused for its budget", "request", q.id, "route", q.Route, "place", place, "left", left,
			"reserve", q.reserve.Time, "calls_to_come", q.reserve.Calls, "refused", refused)
	}
}
