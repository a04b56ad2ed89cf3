package mesh

import "github.com/rockspoke/rockspoke/pkg/settings"

// soundShare is the share of good answers of the best server of a service below which its failures are
// taken for those of something that they share, so that another server would fail as well.
const soundShare = 0.8

// worthAnother tells whether a request that one server failed has a chance at another one.
func (n *Node) worthAnother(q *request) bool {
	p := n.plan.Load()
	if p == nil || p.runsPerRequest[q.Route][q.Service] == 0 {
		return false // what a repeat costs below isn't known
	}
	if s, held := p.shares[q.kind()]; held && s.Fresh < 1 {
		return false
	}
	return standardOf(n.clock.Now(), n.view.Load().services[q.Service], n.compared()).success >= soundShare
}

// mayRepeat tells whether the budget lets a request reach one more server, and pays for it.
func (n *Node) mayRepeat(q *request) bool {
	if n.off[settings.Repeats] {
		return false
	}
	runs := n.runsOf(q)
	n.budgetMu.Lock()
	ok := n.budget.Take(n.clock.Now(), runs)
	n.budgetMu.Unlock()
	if ok {
		n.metrics.count("repeats_total", "service", q.Service)
	} else {
		n.metrics.count("repeats_denied_total", "service", q.Service)
	}
	return ok
}

// earnRepeats notes a request that a server is about to get for the first time.
func (n *Node) earnRepeats(q *request) {
	runs := n.runsOf(q)
	n.budgetMu.Lock()
	defer n.budgetMu.Unlock()
	n.budget.Earn(n.clock.Now(), q.Service, runs)
}

// runsOf returns the runs by service that a request causes, as far as they are known.
func (n *Node) runsOf(q *request) map[string]float64 {
	if p := n.plan.Load(); p != nil {
		if runs := p.runsPerRequest[q.Route]; runs[q.Service] > 0 {
			return runs
		}
	}
	return map[string]float64{q.Service: 1}
}

// The constants of the repeat budget.
const (
	// repeatRatioShare of the operator's ratio is earned at the service itself; a request may be repeated
	// at several levels above a service, and all of it adds up there. With callers at two more levels the shares come to 0.85;
	// the rest is for demand that ends within a window.
	repeatRatioShare = 0.45
	// repeatBelowShare of the ratio is earned for the services that the request's calls run on.
	repeatBelowShare = 0.2
	// repeatBurstShare of the operator's slack is shared out to the nodes.
	repeatBurstShare = 0.4
)

// tuneBudget shares the operator's bounds of repeats out to the nodes that are known.
func (n *Node) tuneBudget() {
	nodes := max(n.nodes.Load(), 1)
	n.budgetMu.Lock()
	defer n.budgetMu.Unlock()
	n.budget.Ratio = n.cfg.Mesh.RetryRatio * repeatRatioShare
	n.budget.Below = n.cfg.Mesh.RetryRatio * repeatBelowShare
	n.budget.Window = n.cfg.Mesh.RetryWindow
	n.budget.Burst = max(n.cfg.Mesh.RetrySlack*repeatBurstShare/float64(nodes), 1)
}
