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
	// backlogTime is the time in which what waits at a gate is to be worked off, beside what comes.
	backlogTime = 500 * time.Millisecond
	// turnedWeight of the slots that refused calls would take count: a call may be refused by several servers.
	turnedWeight = 0.5
	// leastCapacity is the share of a server's slots that is planned for whatever waits there.
	leastCapacity = 0.3
	// useGain is the weight of one look, some times a second, in the smoothed use of the gate.
	useGain = 0.3
	// roomLogPeriod is the time between lines about a server that is planned with for less than its gate's limit.
	roomLogPeriod = time.Second
	// callsLogPeriod is the time between lines about the calls that runs are taken to make.
	callsLogPeriod = time.Second
)

// reportOwn takes this node's own counts.
func (n *Node) reportOwn(now time.Time) {
	r := n.stats.report(now)
	own := n.control.localServer.Record()
	r.Host, r.Epoch, r.Service = n.ip, n.epoch, own.Service
	n.logCalls(now, r.Runs)
	r.Leaving = n.stop.stopping()
	n.control.reportSeq++
	r.Seq = n.control.reportSeq
	n.gateMu.Lock()
	g := n.gate.Snapshot()
	n.gateMu.Unlock()
	n.control.gateUtilization += useGain * (float64(g.Running+g.Queued)/max(g.Limit, 1) - n.control.gateUtilization)
	load := overload.GateLoad{
		RejectedShare: n.stats.turnedAwayShare(now), Utilization: n.control.gateUtilization, Bottleneck: n.isBinding(own.Service),
	}
	n.control.usableFraction.Observe(now, load)
	excess := n.excess(now, g)
	r.UsableSlots = round(n.roomPart() * max(g.Limit-excess, leastCapacity*g.Limit))
	if r.NotListening = n.serverNotListening.Load(); r.NotListening {
		r.UsableSlots = 0
	}
	n.logRoom(now, g, load, excess, r.UsableSlots)
	body, err := pack(r)
	if err != nil {
		n.controlLog.Error("report can't be written", "err", err)
		return
	}
	n.control.reports[r.Host] = &heldReport{Report: r, heard: now, packed: body}
}

// roomPart returns the part of the own server's room that may be planned for.
func (n *Node) roomPart() float64 {
	if n.off[settings.UsableSlots] {
		return 1
	}
	return n.control.usableFraction.UsableFraction()
}

// excess returns the slots by which more comes to the own server than planned for, whatever the reason:
// what waits has to be worked off, and calls that the gate refuses belong to roots that were admitted.
func (n *Node) excess(now time.Time, g gate.State) float64 {
	waiting := float64(g.Queued) / backlogTime.Seconds()
	return (waiting + turnedWeight*n.stats.turnedAwayRate(now)) * g.HoldTime.Seconds()
}

// logRoom writes down why the own server is planned with for less than its gate lets in.
func (n *Node) logRoom(now time.Time, g gate.State, load overload.GateLoad, excess, room float64) {
	n.metrics.gauge(int64(n.roomPart()*1000), "room_part")
	if room >= g.Limit || now.Before(n.control.logged.nextUsableLog) {
		return
	}
	n.control.logged.nextUsableLog = now.Add(roomLogPeriod)
	n.controlLog.Info("room", "room", room, "limit", g.Limit, "running", g.Running, "queued", g.Queued, "hold", g.HoldTime,
		"turned_away", round(load.RejectedShare), "binding", load.Bottleneck, "part", round(n.roomPart()), "excess", round(excess))
}

// logCalls writes down the calls that runs at the own server are taken to make, where they differ clearly from what was
// last written: what is learned wrongly sets what is let in everywhere.
func (n *Node) logCalls(now time.Time, runs map[string]loads.RunStats) {
	if now.Before(n.control.logged.nextCallsLog) {
		return
	}
	n.control.logged.nextCallsLog = now.Add(callsLogPeriod)
	changed := map[string]callgraph.Rates{}
	for route, run := range runs {
		if differInCalls(run.CallsPerRun, n.control.logged.calls[route]) {
			changed[route] = run.CallsPerRun
			n.control.logged.calls[route] = run.CallsPerRun
		}
	}
	if len(changed) > 0 {
		n.controlLog.Info("calls of a run", "routes", changed)
	}
}
