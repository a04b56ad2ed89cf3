package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// The constants of the local load report.
const (
	// backlogDrainTime is the time in which requests queued at the gate are to be processed, in addition to new arrivals.
	backlogDrainTime = 500 * time.Millisecond
	// rejectedWeight is the weight of the slots that rejected calls would take. It is below 1 since several servers may
	// reject the same call.
	rejectedWeight = 0.5
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
	own := n.control.own.Record()
	r.Host, r.Epoch, r.Service = n.ip, n.epoch, own.Service
	n.logCallsPerRun(now, r.Runs)
	r.Leaving = n.stop.leaving()
	n.control.reportSeq++
	r.Seq = n.control.reportSeq
	n.gateMu.Lock()
	g := n.gate.Read()
	n.gateMu.Unlock()
	n.control.gateUse += utilizationGain * (float64(g.Running+g.Queued)/max(g.Limit, 1) - n.control.gateUse)
	load := overload.GateLoad{
		TurnedAway: n.stats.rejectedShare(now), Use: n.control.gateUse, Binding: n.isBottleneck(own.Service),
	}
	n.control.room.Observe(now, load)
	excess := n.excessSlots(now, g)
	r.Room = round(n.usableFraction() * max(g.Limit-excess, minUsableFraction*g.Limit))
	if r.Away = n.away.Load(); r.Away {
		r.Room = 0
	}
	n.logUsableSlots(now, g, load, excess, r.Room)
	body, err := pack(r)
	if err != nil {
		n.controlLog.Error("failed to encode load report", "err", err)
		return
	}
	n.control.reports[r.Host] = &nodeReport{Report: r, receivedAt: now, packed: body}
}

// usableFraction returns the fraction of the local backend server's slots, 0 to 1, that the plan may count on.
func (n *Node) usableFraction() float64 {
	if n.off[settings.RoomControl] {
		return 1
	}
	return n.control.room.Part()
}

// excessSlots returns the slots by which the load of the local backend server exceeds the plan: queued requests have to be
// processed, and calls that the gate rejects belong to root requests that were admitted.
func (n *Node) excessSlots(now time.Time, g gate.Reading) float64 {
	queuedRate := float64(g.Queued) / backlogDrainTime.Seconds()
	return (queuedRate + rejectedWeight*n.stats.rejectedCallRate(now)) * g.Hold.Seconds()
}

// logUsableSlots sets the usable-fraction metric, and logs why the local backend server has fewer usable slots than its
// gate's limit, once per usableSlotsLogPeriod.
func (n *Node) logUsableSlots(now time.Time, g gate.Reading, load overload.GateLoad, excess, usable float64) {
	n.metrics.gauge(int64(n.usableFraction()*1000), "room_part")
	if usable >= g.Limit || now.Before(n.control.shown.nextRoom) {
		return
	}
	n.control.shown.nextRoom = now.Add(usableSlotsLogPeriod)
	n.controlLog.Info("room", "room", usable, "limit", g.Limit, "running", g.Running, "queued", g.Queued, "hold", g.Hold,
		"turned_away", round(load.TurnedAway), "binding", load.Binding, "part", round(n.usableFraction()), "excess", round(excess))
}

// logCallsPerRun logs the learned calls per run at the local backend server for routes where they differ clearly from the
// last logged ones: wrongly learned calls affect admission at all nodes.
func (n *Node) logCallsPerRun(now time.Time, runs map[string]loads.Run) {
	if now.Before(n.control.shown.nextCalls) {
		return
	}
	n.control.shown.nextCalls = now.Add(callsLogPeriod)
	changed := map[string]callgraph.Rates{}
	for route, run := range runs {
		if callsDiffer(run.Calls, n.control.shown.calls[route]) {
			changed[route] = run.Calls
			n.control.shown.calls[route] = run.Calls
		}
	}
	if len(changed) > 0 {
		n.controlLog.Info("learned calls per run changed", "routes", changed)
	}
}
