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
	// missedRate is the rate a second from which a kind without a known cost is written down: a few requests on a
	// route that nobody else asks for are no loss to the plan.
	missedRate = 5.0
)

// holdsDown tells whether the plan lets in only a part of some kind.
func holdsDown(roots []overload.KindDemand, plan *admissionPlan) bool {
	return slices.ContainsFunc(roots, func(r overload.KindDemand) bool { return plan.shares[r.Kind].Fresh < 1 })
}

// logPlan writes down what decided the shares, for a plan that holds some kind down or lacks the cost of one.
func (n *Node) logPlan(now time.Time, plan *admissionPlan, roots []overload.KindDemand, capacity map[string]float64, missing []string) {
	if now.Before(n.control.logged.nextPlanLog) {
		return
	}
	n.control.logged.nextPlanLog = now.Add(planLogPeriod)
	demand, costs := demandOf(roots)
	n.controlLog.Info("admission", "shares", shownShares(plan.shares), "demand", demand, "costs", costs, "capacity", capacity,
		"without_cost", missing, "reports", len(n.control.reports), "zones", len(n.otherZones(now)))
}

// shownShares returns the shares by names for people.
func shownShares(shares map[string]overload.Share) map[string]overload.Share {
	shown := make(map[string]overload.Share, len(shares))
	for kind, s := range shares {
		shown[loads.KindLabel(kind)] = s
	}
	return shown
}

// withoutCost returns the kinds that are asked for and take nothing by what is known.
func withoutCost(roots []overload.KindDemand) []string {
	var routes []string
	for _, r := range roots {
		if len(r.SlotSeconds) == 0 && r.Fresh+r.Returning >= missedRate {
			routes = append(routes, loads.KindLabel(r.Kind))
		}
	}
	slices.Sort(routes)
	return routes
}

// showShares sets the metric of each kind that is held down, or ever was.
func (n *Node) showShares(plan *admissionPlan) {
	for route, s := range plan.shares {
		if s.Fresh < 1 || n.control.logged.shares[route] {
			n.control.logged.shares[route] = true
			n.metrics.gauge(int64(s.Fresh*1000), "admitted_share", "route", loads.KindLabel(route))
		}
	}
}

// demandOf returns the slots that first attempts would take of each service, and the slot seconds of one request
// of each kind.
func demandOf(roots []overload.KindDemand) (demand map[string]float64, costs map[string]map[string]float64) {
	demand, costs = map[string]float64{}, map[string]map[string]float64{}
	for _, r := range roots {
		costs[loads.KindLabel(r.Kind)] = r.SlotSeconds
		for s, cost := range r.SlotSeconds {
			demand[s] += cost * r.Fresh
		}
	}
	return demand, costs
}
