package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// The constants of a server to which more comes than it can take.
const (
	// backlogDrainTime is the time in which what waits at a gate is to be worked off, beside what comes.
	backlogDrainTime = 500 * time.Millisecond
	// rejectedWeight of the slots that refused calls would take count: a call may be refused by several servers.
	rejectedWeight = 0.5
	// minUsableFraction is the share of a server's slots that is planned for whatever waits there.
	minUsableFraction = 0.3
	// utilizationGain is the weight of one look, some times a second, in the smoothed use of the gate.
	utilizationGain = 0.3
	// usableSlotsLogPeriod is the time between lines about a server that is planned with for less than its gate's limit.
	usableSlotsLogPeriod = time.Second
	// callsLogPeriod is the time between lines about the calls that runs are taken to make.
	callsLogPeriod = time.Second
)

// reportLocalLoad takes this node's own counts.
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
		n.controlLog.Error("report can't be written", "err", err)
		return
	}
	n.control.reports[r.Host] = &nodeReport{Report: r, receivedAt: now, packed: body}
}

// usableFraction returns the part of the own server's room that may be planned for.
func (n *Node) usableFraction() float64 {
	if n.off[settings.RoomControl] {
		return 1
	}
	return n.control.room.Part()
}

// excessSlots returns the slots by which more comes to the own server than planned for, whatever the reason:
// what waits has to be worked off, and calls that the gate refuses belong to roots that were admitted.
func (n *Node) excessSlots(now time.Time, g gate.Reading) float64 {
	waiting := float64(g.Queued) / backlogDrainTime.Seconds()
	return (waiting + rejectedWeight*n.stats.rejectedCallRate(now)) * g.Hold.Seconds()
}

// logUsableSlots writes down why the own server is planned with for less than its gate lets in.
func (n *Node) logUsableSlots(now time.Time, g gate.Reading, load overload.GateLoad, excess, room float64) {
	n.metrics.gauge(int64(n.usableFraction()*1000), "room_part")
	if room >= g.Limit || now.Before(n.control.shown.nextRoom) {
		return
	}
	n.control.shown.nextRoom = now.Add(usableSlotsLogPeriod)
	n.controlLog.Info("room", "room", room, "limit", g.Limit, "running", g.Running, "queued", g.Queued, "hold", g.Hold,
		"turned_away", round(load.TurnedAway), "binding", load.Binding, "part", round(n.usableFraction()), "excess", round(excess))
}

// logCallsPerRun writes down the calls that runs at the own server are taken to make, where they differ clearly from what was
// last written: what is learned wrongly sets what is let in everywhere.
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
		n.controlLog.Info("calls of a run", "routes", changed)
	}
}
