package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// admissionPlan holds the admission shares and the learned costs that requests read. It is immutable once published.
type admissionPlan struct {
	shares         map[string]overload.Share     // admitted share by kind of root request (loads.Kind)
	internalRoutes map[string]bool               // routes that only backend servers call
	runsPerRequest map[string]map[string]float64 // by route, then service: runs caused by one request, its calls included
	gatesPerCall   map[string]float64            // by route: runs caused by one request at all services, its own included
	slotHoldTimes  map[string]time.Duration      // by route: average slot hold time of one run, over all servers
	callShares     map[string]float64            // by route: share of the slot hold time that a run waits for its own calls
	// bottlenecks holds the services whose usable slots the admitted requests fill.
	bottlenecks map[string]bool
	// callsPerRequest is, by service, how many runs there one admitted request causes.
	callsPerRequest map[string]float64
}

// callsPerRequest returns how many runs at the service one admitted request causes, or 0 if it isn't known.
func (n *Node) callsPerRequest(service string) float64 {
	if p := n.plan.Load(); p != nil && !n.off[settings.ChainTolerance] {
		return p.callsPerRequest[service]
	}
	return 0
}

// isBottleneck reports whether the requests that the plan admits fill the service, as far as their costs are known.
func (n *Node) isBottleneck(service string) bool {
	p := n.plan.Load()
	return p != nil && p.bottlenecks[service]
}

// slotHoldTime returns the average slot hold time of a run of the route over all servers, or 0 if it isn't known.
func (n *Node) slotHoldTime(route string) time.Duration {
	if p := n.plan.Load(); p != nil && !n.off[settings.KindHoldTimes] {
		return p.slotHoldTimes[route]
	}
	return 0
}

// callShare returns the share of the slot hold time that a run of the route waits for its own calls, or 0 if it isn't known.
func (n *Node) callShare(route string) float64 {
	if p := n.plan.Load(); p != nil {
		return p.callShares[route]
	}
	return 0
}

// planPeriod is the time between plans.
const planPeriod = 200 * time.Millisecond

// replan computes and publishes a new admission plan from the reports that haven't expired.
func (n *Node) replan(now time.Time) {
	n.expireLoads(now)
	sums := n.currentSums()
	reports := slices.Concat(slices.Collect(maps.Values(sums))...)
	n.control.retainedRuns.Update(now, reports)
	all := n.control.retainedRuns.WithRetained(reports)
	places := loads.Placements(all)
	n.updateInternalRoutes(now, sums)
	plan := &admissionPlan{
		internalRoutes: maps.Clone(n.control.internalRoutes.internal), runsPerRequest: make(map[string]map[string]float64), slotHoldTimes: loads.HoldTimes(places),
		gatesPerCall: make(map[string]float64),
	}
	graph := loads.CallGraph(all)
	plan.callShares = loads.CallShares(graph, places)
	costs := callgraph.Costs(graph, places)
	for route, c := range costs {
		plan.runsPerRequest[route] = c.Runs
		for _, runs := range c.Runs {
			plan.gatesPerCall[route] += runs
		}
	}
	roots, capacity := n.rootDemand(now, reports, plan, costs), n.capacity()
	n.addSuccess(now, &planInputs{reports, graph, places, roots, capacity})
	options := overload.Options{NoMinimumShare: n.off[settings.MinShare], EqualShares: n.off[settings.CostWeight], SameTarget: n.off[settings.ChainTarget]}
	plan.shares = options.PlanShares(roots, capacity)
	plan.callsPerRequest = overload.CallsPerRequest(roots, plan.shares)
	plan.bottlenecks = options.BottleneckServices(roots, plan.shares, capacity)
	missing := kindsWithoutCost(roots)
	urgent := limitsAnyKind(roots, plan) || len(missing) > 0
	n.updateUrgency(now, urgent)
	if urgent {
		n.logPlan(now, plan, roots, capacity, missing)
	}
	n.setShareMetrics(plan)
	n.setSuccessMetrics(roots)
	n.plan.Store(plan)
}

// rootDemand returns the demand for each kind of root request: the reported rates, plus the retained rates of kinds that
// can't have been reported yet.
func (n *Node) rootDemand(now time.Time, reports []*loads.Report, plan *admissionPlan, costs map[string]callgraph.Cost) []overload.KindDemand {
	byKind := n.reportedDemand(reports, plan, costs)
	n.control.attemptRates = make(map[string]float64, len(byKind))
	for kind, r := range byKind {
		n.control.attemptRates[kind] = r.Fresh
	}
	if len(byKind) > 0 {
		n.control.retainedDemand.MarkReported(now)
	}
	for kind, missing := range n.control.retainedDemand.Uncounted(now) {
		if plan.internalRoutes[routeOf(kind)] {
			continue
		}
		if byKind[kind] == nil {
			byKind[kind] = n.newKindDemand(kind, costs)
		}
		byKind[kind].Fresh += missing
	}
	roots := make([]overload.KindDemand, 0, len(byKind))
	for _, r := range byKind {
		roots = append(roots, *r)
	}
	return roots
}

// newKindDemand returns the demand for a kind of root request with its rank and cost, and with rates of 0.
func (n *Node) newKindDemand(kind string, costs map[string]callgraph.Cost) *overload.KindDemand {
	route, team := loads.SplitKind(kind)
	return &overload.KindDemand{
		Kind: kind, Priority: n.state.Load().Rank(route, team), SlotSeconds: costs[route].SlotSeconds, Runs: costs[route].Runs,
	}
}

// reportedDemand returns the demand that the reports contain, by kind of root request.
func (n *Node) reportedDemand(reports []*loads.Report, plan *admissionPlan, costs map[string]callgraph.Cost) map[string]*overload.KindDemand {
	byKind := map[string]*overload.KindDemand{}
	for _, r := range reports {
		for kind, e := range r.Entries {
			if plan.internalRoutes[routeOf(kind)] {
				continue
			}
			if byKind[kind] == nil {
				byKind[kind] = n.newKindDemand(kind, costs)
			}
			byKind[kind].Fresh += e.Fresh
			byKind[kind].Returning += e.Returning
		}
	}
	return byKind
}
