package mesh

import (
	"maps"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// admissionPlan is what requests see of what was learned; it is never changed once published.
type admissionPlan struct {
	shares map[string]overload.Share     // by kind of root request (loads.Kind)
	inner  map[string]bool               // routes that only backend servers call
	runs   map[string]map[string]float64 // runs by service of one request of a route, its calls included
	holds  map[string]time.Duration      // how long one run of a route holds a slot, at any server
	// binding holds the services that what is admitted fills.
	binding map[string]bool
}

// isBinding tells whether what the plan admits fills a service, as far as costs are known.
func (n *Node) isBinding(service string) bool {
	p := n.plan.Load()
	return p != nil && p.binding[service]
}

// usualHold returns how long a run of the route holds a slot at any server, or 0 where that isn't known.
func (n *Node) usualHold(route string) time.Duration {
	if p := n.plan.Load(); p != nil && !n.off[settings.KindHoldTimes] {
		return p.holds[route]
	}
	return 0
}

// planPeriod is the time between plans.
const planPeriod = 200 * time.Millisecond

// replan works out the shares from the reports that still count.
func (n *Node) replan(now time.Time) {
	n.forgetLoads(now)
	reports := n.loads()
	n.control.retainedRuns.Update(now, reports)
	all := n.control.retainedRuns.WithRetained(reports)
	places := loads.Placements(all)
	n.updateInternalRoutes(now)
	plan := &admissionPlan{
		inner: maps.Clone(n.control.internalRoutes.internal), runs: make(map[string]map[string]float64), holds: loads.HoldTimes(places),
	}
	costs := callgraph.Costs(loads.CallGraph(all), places)
	for route, c := range costs {
		plan.runs[route] = c.Runs
	}
	roots, capacity := n.roots(now, reports, plan, costs), n.capacity()
	options := overload.Options{NoMinimumShare: n.off[settings.MinShare], EqualShares: n.off[settings.CostWeight]}
	plan.shares = options.PlanShares(roots, capacity)
	plan.binding = overload.BottleneckServices(roots, plan.shares, capacity)
	missing := withoutCost(roots)
	urgent := holdsDown(roots, plan) || len(missing) > 0
	n.noteUrgency(now, urgent)
	if urgent {
		n.logPlan(now, plan, roots, capacity, missing)
	}
	n.showShares(plan)
	n.plan.Store(plan)
}

// roots returns the demand for each kind of root request: what is counted, and what can't have been counted yet.
func (n *Node) roots(now time.Time, reports []*loads.Report, plan *admissionPlan, costs map[string]callgraph.Cost) []overload.KindDemand {
	byKind := n.countedRoots(reports, plan, costs)
	n.control.attemptRates = make(map[string]float64, len(byKind))
	for kind, r := range byKind {
		n.control.attemptRates[kind] = r.Fresh
	}
	if len(byKind) > 0 {
		n.control.retainedDemand.MarkReported(now)
	}
	for kind, missing := range n.control.retainedDemand.Uncounted(now) {
		if plan.inner[routeOf(kind)] {
			continue
		}
		if byKind[kind] == nil {
			byKind[kind] = n.root(kind, costs)
		}
		byKind[kind].Fresh += missing
	}
	roots := make([]overload.KindDemand, 0, len(byKind))
	for _, r := range byKind {
		roots = append(roots, *r)
	}
	return roots
}

// root returns a kind of root request for which there is no demand.
func (n *Node) root(kind string, costs map[string]callgraph.Cost) *overload.KindDemand {
	route, team := loads.SplitKind(kind)
	return &overload.KindDemand{Kind: kind, Priority: n.state.Load().Rank(route, team), SlotSeconds: costs[route].SlotSeconds}
}

// countedRoots returns the demand that reports tell of.
func (n *Node) countedRoots(reports []*loads.Report, plan *admissionPlan, costs map[string]callgraph.Cost) map[string]*overload.KindDemand {
	byKind := map[string]*overload.KindDemand{}
	for _, r := range reports {
		for kind, e := range r.Entries {
			if plan.inner[routeOf(kind)] {
				continue
			}
			if byKind[kind] == nil {
				byKind[kind] = n.root(kind, costs)
			}
			byKind[kind].Fresh += e.Fresh
			byKind[kind].Returning += e.Returning
		}
	}
	return byKind
}
