package mesh

import (
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
)

// The constants of the line about the plan.
const (
	// planLogPeriod is the time between lines about a plan that holds something down, or lacks costs.
	planLogPeriod = time.Second
	// minUncostedRate is the rate a second from which a kind without a known cost is written down: a few requests on a
	// route that nobody else asks for are no loss to the plan.
	minUncostedRate = 5.0
)

// limitsAnyKind tells whether the plan lets in only a part of some kind.
func limitsAnyKind(roots []overload.Root, plan *admissionPlan) bool {
	return slices.ContainsFunc(roots, func(r overload.Root) bool { return plan.shares[r.Route].Fresh < 1 })
}

// logPlan writes down what decided the shares, for a plan that holds some kind down or lacks the cost of one.
func (n *Node) logPlan(now time.Time, plan *admissionPlan, roots []overload.Root, capacity map[string]float64, missing []string) {
	if now.Before(n.control.shown.nextPlan) {
		return
	}
	n.control.shown.nextPlan = now.Add(planLogPeriod)
	demand, costs := demandAndCosts(roots)
	n.controlLog.Info("admission", "shares", sharesByDisplayName(plan.shares), "demand", demand, "costs", costs, "capacity", capacity,
		"without_cost", missing, "reports", len(n.control.reports), "zones", len(n.packedOtherZones(now)))
}

// sharesByDisplayName returns the shares by names for people.
func sharesByDisplayName(shares map[string]overload.Share) map[string]overload.Share {
	shown := make(map[string]overload.Share, len(shares))
	for kind, s := range shares {
		shown[loads.ShowKind(kind)] = s
	}
	return shown
}

// kindsWithoutCost returns the kinds that are asked for and take nothing by what is known.
func kindsWithoutCost(roots []overload.Root) []string {
	var routes []string
	for _, r := range roots {
		if len(r.Slots) == 0 && r.Fresh+r.Returning >= minUncostedRate {
			routes = append(routes, loads.ShowKind(r.Route))
		}
	}
	slices.Sort(routes)
	return routes
}

// setShareMetrics sets the metric of each kind that is held down, or ever was.
func (n *Node) setShareMetrics(plan *admissionPlan) {
	for route, s := range plan.shares {
		if s.Fresh < 1 || n.control.shown.shares[route] {
			n.control.shown.shares[route] = true
			n.metrics.gauge(int64(s.Fresh*1000), "admitted_share", "route", loads.ShowKind(route))
		}
	}
}

// demandAndCosts returns the slots that first attempts would take of each service, and the slot seconds of one request
// of each kind.
func demandAndCosts(roots []overload.Root) (demand map[string]float64, costs map[string]map[string]float64) {
	demand, costs = map[string]float64{}, map[string]map[string]float64{}
	for _, r := range roots {
		costs[loads.ShowKind(r.Route)] = r.Slots
		for s, cost := range r.Slots {
			demand[s] += cost * r.Fresh
		}
	}
	return demand, costs
}
