package mesh

import (
	"math/rand/v2"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/overload"
)

// admissionPlan is what requests see of what was learned; it is never changed once published.
type admissionPlan struct {
	shares map[string]overload.Share     // by root route
	inner  map[string]bool               // routes that only backend servers call
	runs   map[string]map[string]float64 // runs by service of one request of a route, its calls included
}

// planPeriod is the time between plans.
const planPeriod = 200 * time.Millisecond

// takeReports takes over reports of other nodes that are newer than those held.
func (n *Node) takeReports(now time.Time, from string, reports []packedReport) {
	for _, p := range reports {
		r := &loadReport{Host: p.Host, Epoch: p.Epoch, Seq: p.Seq}
		if r.Host == n.ip || !r.newer(n.control.reports[r.Host]) {
			continue
		}
		if err := unpack(p.Body, r); err != nil {
			n.controlLog.Warn("report can't be read", "peer", from, "host", p.Host, "err", err)
			continue
		}
		r.Host, r.Epoch, r.Seq, r.heard, r.packed = p.Host, p.Epoch, p.Seq, now, p.Body
		n.control.reports[r.Host] = r
	}
}

// reportOwn takes this node's own counts.
func (n *Node) reportOwn(now time.Time) {
	r := n.stats.report(now)
	own := n.control.own.Record()
	r.Host, r.Epoch, r.Service = n.ip, n.epoch, own.Service
	n.control.reportSeq++
	r.Seq = n.control.reportSeq
	n.gateMu.Lock()
	g := n.gate.Read()
	n.gateMu.Unlock()
	n.control.room.Observe(now, n.stats.turnedAwayShare(now))
	r.Room = round(n.control.room.Part() * max(g.Limit-n.excess(now, g), leastCapacity*g.Limit))
	r.heard = now
	body, err := pack(r)
	if err != nil {
		n.controlLog.Error("report can't be written", "err", err)
		return
	}
	r.packed = body
	n.control.reports[r.Host] = &r
}

// replan works out the shares from the reports that still count.
func (n *Node) replan(now time.Time) {
	n.forgetLoads(now)
	loads := n.loads()
	plan := &admissionPlan{inner: n.innerRoutes(loads), runs: make(map[string]map[string]float64)}
	costs := callgraph.Costs(graphOf(loads), n.placesNow(now, loads))
	for route, c := range costs {
		plan.runs[route] = c.Runs
	}
	roots, capacity := n.roots(loads, plan, costs), n.capacity()
	plan.shares = overload.Plan(roots, capacity)
	n.logPlan(now, plan, roots, capacity)
	n.plan.Store(plan)
}

// roots returns the demand for each kind of root request.
func (n *Node) roots(loads []*loadReport, plan *admissionPlan, costs map[string]callgraph.Cost) []overload.Root {
	state := n.state.Load()
	byRoute := map[string]*overload.Root{}
	for _, r := range loads {
		for route, e := range r.Entries {
			if plan.inner[route] {
				continue
			}
			o := byRoute[route]
			if o == nil {
				o = &overload.Root{Route: route, Priority: state.Priority(route), Slots: costs[route].Slots}
				byRoute[route] = o
			}
			o.Fresh += e.Fresh
			o.Returning += e.Returning
		}
	}
	roots := make([]overload.Root, 0, len(byRoute))
	for _, r := range byRoute {
		roots = append(roots, *r)
	}
	return roots
}

// The constants of a server to which more comes than it can take.
const (
	// backlogTime is the time in which what waits at a gate is to be worked off, beside what comes.
	backlogTime = 500 * time.Millisecond
	// turnedWeight of the slots that refused calls would take count: a call may be refused by several servers.
	turnedWeight = 0.5
	// leastCapacity is the share of a server's slots that is planned for whatever waits there.
	leastCapacity = 0.3
)

// excess returns the slots by which more comes to the own server than planned for, whatever the reason:
// what waits has to be worked off, and calls that the gate refuses belong to roots that were admitted.
func (n *Node) excess(now time.Time, g gate.Reading) float64 {
	waiting := float64(g.Queued) / backlogTime.Seconds()
	return (waiting + turnedWeight*n.stats.turnedAwayRate(now)) * g.Hold.Seconds()
}

// planLogPeriod is the time between lines about a plan that holds something down.
const planLogPeriod = time.Second

// logPlan writes down what decided the shares while some kind is held down.
func (n *Node) logPlan(now time.Time, plan *admissionPlan, roots []overload.Root, capacity map[string]float64) {
	held := false
	for route, s := range plan.shares {
		if s.Fresh < 1 || n.control.sharesShown[route] {
			n.control.sharesShown[route] = true
			n.metrics.gauge(int64(s.Fresh*1000), "admitted_share", "route", route)
		}
	}
	demand, costs := map[string]float64{}, map[string]map[string]float64{}
	for _, r := range roots {
		costs[r.Route] = r.Slots
		held = held || plan.shares[r.Route].Fresh < 1
		for s, cost := range r.Slots {
			demand[s] += cost * r.Fresh
		}
	}
	if !held || now.Before(n.control.nextPlanLog) {
		return
	}
	n.control.nextPlanLog = now.Add(planLogPeriod)
	n.controlLog.Info("admission", "shares", plan.shares, "demand", demand, "costs", costs, "capacity", capacity, "reports", len(n.control.reports), "zones", len(n.otherZones(now)))
}

// admit decides whether a root request is taken in.
func (n *Node) admit(q *request, left time.Duration) bool {
	share := overload.Share{Fresh: 1, Returning: 1}
	if p := n.plan.Load(); p != nil {
		if s, ok := p.shares[q.Route]; ok {
			share = s
		}
	}
	ok, returning := n.stats.admit(n.clock.Now(), q.Route, left, share)
	if !ok {
		n.callLog.Info("not admitted", "request", q.id, "route", q.Route, "returning", returning,
			"fresh_share", round(share.Fresh), "returning_share", round(share.Returning))
	}
	return ok
}

// comeBackShare of the time that a client has left is the longest after which it comes back as told.
const comeBackShare = 1.0 / 3

// comeBack returns when a refused client should try again: an overload takes its time to pass, so as late
// as the client will still come, spread out so that not all come at once.
func (n *Node) comeBack(q *request, a *answer) time.Duration {
	most := time.Duration(float64(q.clientDeadline.Sub(n.clock.Now())) * comeBackShare)
	if !a.overloaded {
		most = min(most, 2*retryBase)
	}
	return max(most/2+rand.N(max(most/2, 1)), time.Millisecond)
}
