package mesh

import (
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
)

// The constants of the log line about the plan.
const (
	// planLogPeriod is the time between log lines about a plan that limits some kind or lacks the cost of one.
	planLogPeriod = time.Second
	// minUncostedRate is the rate in requests per second from which a kind without a known cost is logged: a few requests
	// on a rarely used route don't distort the plan.
	minUncostedRate = 5.0
)

// limitsAnyKind reports whether the plan admits less than all first attempts of some kind.
func limitsAnyKind(roots []overload.KindDemand, plan *admissionPlan) bool {
	return slices.ContainsFunc(roots, func(r overload.KindDemand) bool { return plan.shares[r.Kind].Fresh < 1 })
}

// logPlan logs the inputs and shares of a plan that limits some kind or lacks the cost of one, once per planLogPeriod.
func (n *Node) logPlan(now time.Time, plan *admissionPlan, roots []overload.KindDemand, capacity map[string]float64, missing []string) {
	if now.Before(n.control.logged.nextPlanLog) {
		return
	}
	n.control.logged.nextPlanLog = now.Add(planLogPeriod)
	demand, costs := demandAndCosts(roots)
	n.controlLog.Info("admission", "shares", sharesByDisplayName(plan.shares), "demand", demand, "costs", costs, "capacity", capacity,
		"success", successByDisplayName(roots), "calls", plan.callsPerRequest, "without_cost", missing, "reports", len(n.control.reports), "zones", len(n.packedOtherZones(now)))
}

// sharesByDisplayName returns the shares keyed by the display names of their kinds.
func sharesByDisplayName(shares map[string]overload.Share) map[string]overload.Share {
	shown := make(map[string]overload.Share, len(shares))
	for kind, s := range shares {
		shown[loads.KindLabel(kind)] = s
	}
	return shown
}

// kindsWithoutCost returns the sorted display names of the kinds that are requested and have no known cost.
func kindsWithoutCost(roots []overload.KindDemand) []string {
	var names []string
	for _, r := range roots {
		if len(r.SlotSeconds) == 0 && r.Fresh+r.Returning >= minUncostedRate {
			names = append(names, loads.KindLabel(r.Kind))
		}
	}
	slices.Sort(names)
	return names
}

// setShareMetrics sets the share metric of each kind that is limited now or has been since the start.
func (n *Node) setShareMetrics(plan *admissionPlan) {
	for kind, s := range plan.shares {
		if s.Fresh < 1 || n.control.logged.shares[kind] {
			n.control.logged.shares[kind] = true
			n.metrics.gauge(int64(s.Fresh*1000), "admitted_share", "route", loads.KindLabel(kind))
		}
	}
}

// successByDisplayName returns the probabilities below 1 that requests succeed, keyed by the display names of their kinds.
func successByDisplayName(roots []overload.KindDemand) map[string]float64 {
	shown := map[string]float64{}
	for _, r := range roots {
		if r.Success > 0 && r.Success < 1 {
			shown[loads.KindLabel(r.Kind)] = round(r.Success)
		}
	}
	return shown
}

// setSuccessMetrics sets the success metric of each kind whose requests lose calls now or have since the start.
func (n *Node) setSuccessMetrics(roots []overload.KindDemand) {
	for _, r := range roots {
		p := r.Success
		if p <= 0 {
			p = 1
		}
		if p < 1 || n.control.logged.success[r.Kind] {
			n.control.logged.success[r.Kind] = true
			n.metrics.gauge(int64(p*1000), "request_success", "route", loads.KindLabel(r.Kind))
		}
	}
}

// demandAndCosts returns the slots of each service that all first attempts would occupy, and the slot seconds that one
// request of each kind takes at each service.
func demandAndCosts(roots []overload.KindDemand) (demand map[string]float64, costs map[string]map[string]float64) {
	demand, costs = map[string]float64{}, map[string]map[string]float64{}
	for _, r := range roots {
		costs[loads.KindLabel(r.Kind)] = r.SlotSeconds
		for s, cost := range r.SlotSeconds {
			demand[s] += cost * r.Fresh
		}
	}
	return demand, costs
}
