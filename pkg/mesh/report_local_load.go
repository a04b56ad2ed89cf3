package mesh

import (
	"math"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
	"github.com/rockspoke/rockspoke/pkg/pace"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// The constants of the local load report.
const (
	// backlogDrainTime is the time in which requests queued at the gate are to be processed, in addition to new arrivals.
	backlogDrainTime = 500 * time.Millisecond
	// rejectedWeight is the weight of the slots that rejected calls would take. It is below 1 since several servers may
	// reject the same call.
	rejectedWeight = 0.5
	// rateRejectedWeight is the same at a rate limit: a call waits for a token for a moment only, and another server takes
	// most of the rejected ones. A lower weight admits requests that fail half-way.
	rateRejectedWeight = 0.4
	// minUsableFraction is the fraction of the gate's limit that stays usable however long the queue is.
	minUsableFraction = 0.3
	// utilizationGain is the weight of one sample in the exponentially smoothed gate utilization; there is one sample per
	// planPeriod.
	utilizationGain = 0.3
	// usableSlotsLogPeriod is the time between log lines about a server whose usable slots are below its gate's limit.
	usableSlotsLogPeriod = time.Second
	// callsLogPeriod is the time between log lines about the learned calls per run.
	callsLogPeriod = time.Second
)

// reportLocalLoad computes this node's load report and stores it for the next exchanges.
func (n *Node) reportLocalLoad(now time.Time) {
	r := n.stats.report(now)
	own := n.control.localServer.Record()
	r.Host, r.Epoch, r.Service = n.ip, n.epoch, own.Service
	n.logCallsPerRun(now, r.Runs)
	r.Leaving = n.stop.stopping()
	n.control.reportSeq++
	r.Seq = n.control.reportSeq
	n.gateMu.Lock()
	g, rate := n.gate.Snapshot(), n.gate.RateLimit(now)
	n.gateMu.Unlock()
	utilization := max(float64(g.Running+g.Queued)/max(g.Limit, 1), min(n.rateUse(now, rate), 1))
	n.control.gateUtilization += utilizationGain * (utilization - n.control.gateUtilization)
	load := overload.GateLoad{
		RejectedShare: n.stats.rejectedShare(now), Utilization: n.control.gateUtilization, Bottleneck: n.isBottleneck(own.Service),
		CallsPerRequest: n.callsPerRequest(own.Service),
	}
	n.control.usableFraction.Observe(now, load)
	excess := n.excessSlots(now, g, rate)
	work := workPerSlot(g)
	slots := min(g.Limit*work, rateSlots(g, rate))
	r.UsableSlots = round(n.usableFraction() * max(slots-excess*work, minUsableFraction*slots))
	if r.NotListening = n.serverNotListening.Load(); r.NotListening {
		r.UsableSlots = 0
	}
	n.logUsableSlots(now, g, load, excess, r.UsableSlots)
	body, err := pack(r)
	if err != nil {
		n.controlLog.Error("failed to encode load report", "err", err)
		return
	}
	n.control.reports[r.Host] = &nodeReport{Report: r, receivedAt: now, packed: body}
}

// rateSlots returns the slots that the server can use within its rate limit, +Inf if it has none: the plan counts in slots.
func rateSlots(g gate.State, rate gate.RateState) float64 {
	if !rate.Limit.Advertised || g.HoldTime == 0 || g.MeanSlowdown <= 0 {
		return math.Inf(1)
	}
	usualHold := g.HoldTime.Seconds() / g.MeanSlowdown // the costs in the plan are those of the usual hold times
	return rate.PerSecond * usualHold
}

// workPerSlot returns the work that a slot of the local backend server does now, relative to that of an average run: the costs in the
// plan are averages over the runs at all servers. It is 1 for a server that tells no pace.
func workPerSlot(g gate.State) float64 {
	if g.ToldPace == 0 {
		return 1
	}
	return pace.WorkPerSlot(g.MeanSlowdown, g.MeanFactor, g.PaceFactor)
}

// usableFraction returns the fraction of the local backend server's slots, 0 to 1, that the plan may count on.
func (n *Node) usableFraction() float64 {
	if n.off[settings.UsableSlots] {
		return 1
	}
	return n.control.usableFraction.UsableFraction()
}

// excessSlots returns the slots by which the load of the local backend server exceeds the plan: queued requests have to be
// processed, and calls that the gate rejects belong to root requests that were admitted. At a rate limit a short queue is
// usual and no backlog: it keeps the rate used.
func (n *Node) excessSlots(now time.Time, g gate.State, rate gate.RateState) float64 {
	queuedRate, weight := float64(g.Queued)/backlogDrainTime.Seconds(), rejectedWeight
	if rate.Limit.Advertised {
		queuedRate, weight = 0, rateRejectedWeight
	}
	return (queuedRate + weight*n.stats.rejectedCallRate(now)) * g.HoldTime.Seconds()
}

// logUsableSlots sets the usable-fraction metric, and logs why the local backend server has fewer usable slots than its
// gate's limit, once per usableSlotsLogPeriod. It doesn't log that a server is slow by its pace.
func (n *Node) logUsableSlots(now time.Time, g gate.State, load overload.GateLoad, excess, usable float64) {
	n.metrics.gauge(int64(n.usableFraction()*1000), "room_part")
	if usable >= min(g.Limit, round(g.Limit*workPerSlot(g))) || now.Before(n.control.logged.nextUsableLog) {
		return
	}
	n.control.logged.nextUsableLog = now.Add(usableSlotsLogPeriod)
	n.controlLog.Info("room", "room", usable, "limit", g.Limit, "running", g.Running, "queued", g.Queued, "hold", g.HoldTime,
		"turned_away", round(load.RejectedShare), "binding", load.Bottleneck, "part", round(n.usableFraction()), "excess", round(excess))
}

// logCallsPerRun logs the learned calls per run at the local backend server for routes where they differ clearly from the
// last logged ones: wrongly learned calls affect admission at all nodes.
func (n *Node) logCallsPerRun(now time.Time, runs map[string]loads.RunStats) {
	if now.Before(n.control.logged.nextCallsLog) {
		return
	}
	n.control.logged.nextCallsLog = now.Add(callsLogPeriod)
	changed := map[string]callgraph.Rates{}
	for route, run := range runs {
		if callsDiffer(run.CallsPerRun, n.control.logged.calls[route]) {
			changed[route] = run.CallsPerRun
			n.control.logged.calls[route] = run.CallsPerRun
		}
	}
	if len(changed) > 0 {
		n.controlLog.Info("learned calls per run changed", "routes", changed)
	}
}
