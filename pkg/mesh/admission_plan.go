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
	shares         map[string]overload.Share     // by kind of root request (loads.Kind)
	internalRoutes map[string]bool               // routes that only backend servers call
	runsPerRequest map[string]map[string]float64 // runs by service of one request of a route, its calls included
	slotHoldTimes  map[string]time.Duration      // how long one run of a route holds a slot, at any server
	// bottlenecks holds the services that what is admitted fills.
	bottlenecks map[string]bool
}

// isBottleneck tells whether what the plan admits fills a service, as far as costs are known.
func (n *Node) isBottleneck(service string) bool {
	p := n.plan.Load()
	return p != nil && p.bottlenecks[service]
}

// slotHoldTime returns how long a run of the route holds a slot at any server, or 0 where that isn't known.
func (n *Node) slotHoldTime(route string) time.Duration {
	if p := n.plan.Load(); p != nil && !n.off[settings.KindHolds] {
		return p.slotHoldTimes[route]
	}
	return 0
}

// planPeriod is the time between plans.
const planPeriod = 200 * time.Millisecond

// replan works out the shares from the reports that still count.
func (n *Node) replan(now time.Time) {
	n.expireLoads(now)
	reports := n.currentReports()
	n.control.kept.Note(now, reports)
	all := n.control.kept.Complete(reports)
	places := loads.Places(all)
	n.judgeRoutes(now)
	plan := &admissionPlan{
		internalRoutes: maps.Clone(n.control.judged.called), runsPerRequest: make(map[string]map[string]float64), slotHoldTimes: loads.Holds(places),
	}
	costs := callgraph.Costs(loads.Graph(all), places)
	for route, c := range costs {
		plan.runsPerRequest[route] = c.Runs
	}
	roots, capacity := n.rootDemand(now, reports, plan, costs), n.capacity()
	options := overload.Options{NoLeastPart: n.off[settings.LeastPart], Alike: n.off[settings.CostWeight]}
	plan.shares = options.Plan(roots, capacity)
	plan.bottlenecks = overload.Binding(roots, plan.shares, capacity)
	missing := kindsWithoutCost(roots)
	urgent := limitsAnyKind(roots, plan) || len(missing) > 0
	n.updateUrgency(now, urgent)
	if urgent {
		n.logPlan(now, plan, roots, capacity, missing)
	}
	n.setShareMetrics(plan)
	n.plan.Store(plan)
}

// rootDemand returns the demand for each kind of root request: what is counted, and what can't have been counted yet.
func (n *Node) rootDemand(now time.Time, reports []*loads.Report, plan *admissionPlan, costs map[string]callgraph.Cost) []overload.Root {
	byKind := n.reportedRoots(reports, plan, costs)
	n.control.asked = make(map[string]float64, len(byKind))
	for kind, r := range byKind {
		n.control.asked[kind] = r.Fresh
	}
	if len(byKind) > 0 {
		n.control.demand.Reported(now)
	}
	for kind, missing := range n.control.demand.Missing(now) {
		if plan.internalRoutes[routeOf(kind)] {
			continue
		}
		if byKind[kind] == nil {
			byKind[kind] = n.newRoot(kind, costs)
		}
		byKind[kind].Fresh += missing
	}
	roots := make([]overload.Root, 0, len(byKind))
	for _, r := range byKind {
		roots = append(roots, *r)
	}
	return roots
}

// newRoot returns a kind of newRoot request for which there is no demand.
func (n *Node) newRoot(kind string, costs map[string]callgraph.Cost) *overload.Root {
	route, team := loads.SplitKind(kind)
	return &overload.Root{Route: kind, Priority: n.state.Load().Rank(route, team), Slots: costs[route].Slots}
}

// reportedRoots returns the demand that reports tell of.
func (n *Node) reportedRoots(reports []*loads.Report, plan *admissionPlan, costs map[string]callgraph.Cost) map[string]*overload.Root {
	byKind := map[string]*overload.Root{}
	for _, r := range reports {
		for kind, e := range r.Entries {
			if plan.internalRoutes[routeOf(kind)] {
				continue
			}
			if byKind[kind] == nil {
				byKind[kind] = n.newRoot(kind, costs)
			}
			byKind[kind].Fresh += e.Fresh
			byKind[kind].Returning += e.Returning
		}
	}
	return byKind
}
