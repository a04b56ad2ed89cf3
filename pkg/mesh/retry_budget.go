package mesh

import "github.com/rockspoke/rockspoke/pkg/settings"

// minHealthyShare is the success share of a service's best server below which failures are attributed to a shared
// cause, so that another server would fail as well.
const minHealthyShare = 0.8

// anotherServerMayHelp reports whether a request that one server failed could succeed at another one.
func (n *Node) anotherServerMayHelp(q *request) bool {
	p := n.plan.Load()
	if p == nil || p.runsPerRequest[q.Route][q.Service] == 0 {
		return false // the cost of a retry to the services it calls isn't known
	}
	if s, limited := p.shares[q.kind()]; limited && s.Fresh < 1 {
		return false
	}
	return newBaseline(n.clock.Now(), n.view.Load().services[q.Service], n.comparisonSettings()).success >= minHealthyShare
}

// withdrawRetryBudget reports whether the retry budget lets a request reach one more server, and takes its cost from the
// budget.
func (n *Node) withdrawRetryBudget(q *request) bool {
	if n.off[settings.Retries] {
		return false
	}
	runs := n.expectedRuns(q)
	var calls map[string]float64
	if p := n.plan.Load(); p != nil && !q.Internal && !n.off[settings.RetryReserve] {
		calls = p.callsPerRequest
	}
	n.retryBudgetMu.Lock()
	ok := n.retryBudget.TryWithdrawForRoot(n.clock.Now(), runs, calls)
	n.retryBudgetMu.Unlock()
	if ok {
		n.metrics.count("repeats_total", "service", q.Service)
	} else {
		n.metrics.count("repeats_denied_total", "service", q.Service)
	}
	return ok
}

// depositRetryBudget adds to the retry budget for a request that is about to be sent for the first time.
func (n *Node) depositRetryBudget(q *request) {
	runs := n.expectedRuns(q)
	n.retryBudgetMu.Lock()
	defer n.retryBudgetMu.Unlock()
	n.retryBudget.Deposit(n.clock.Now(), q.Service, runs)
}

// expectedRuns returns the runs by service that a request causes, as far as is known; otherwise one run at its own
// service.
func (n *Node) expectedRuns(q *request) map[string]float64 {
	if p := n.plan.Load(); p != nil {
		if runs := p.runsPerRequest[q.Route]; runs[q.Service] > 0 {
			return runs
		}
	}
	return map[string]float64{q.Service: 1}
}

// Constants of the retry budget.
const (
	// retryRatioShare is the share of the operator's ratio that is deposited for the service itself. A request may be
	// retried at several levels above a service, and all these retries add up there: with callers at two more levels
	// the shares come to 0.85. The rest allows for demand that ends within a window.
	retryRatioShare = 0.45
	// retryDownstreamShare is the share of the ratio that is deposited for the services that the request's calls run on.
	retryDownstreamShare = 0.2
	// retryBurstShare is the share of the operator's slack that is divided among the nodes.
	retryBurstShare = 0.4
)

// updateRetryBudget divides the operator's retry bounds among the known nodes.
func (n *Node) updateRetryBudget() {
	nodes := max(n.knownNodes.Load(), 1)
	n.retryBudgetMu.Lock()
	defer n.retryBudgetMu.Unlock()
	n.retryBudget.Ratio = n.cfg.Mesh.RetryRatio * retryRatioShare
	n.retryBudget.DownstreamRatio = n.cfg.Mesh.RetryRatio * retryDownstreamShare
	n.retryBudget.Window = n.cfg.Mesh.RetryWindow
	n.retryBudget.Burst = max(n.cfg.Mesh.RetrySlack*retryBurstShare/float64(nodes), 1)
}
