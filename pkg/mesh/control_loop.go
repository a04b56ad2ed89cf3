package mesh

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/httpconn"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
	"github.com/rockspoke/rockspoke/pkg/success"
)

// controlState is used by the control goroutine only.
type controlState struct {
	localServer         directory.LocalServer
	directory           directory.Directory
	recentRecords       recentRecords
	newer               newerState
	nextExchange        time.Time
	urgentUpdates       bool    // updates have to spread sooner than usual
	smoothedArrivalRate float64 // requests a second to this node, averaged over some seconds
	nextPlan            time.Time
	logged              loggedLines
	reports             map[string]*nodeReport // newest report of each node of this zone, by host
	expiredReports      map[string]*nodeReport // last valid report of nodes that stopped sending, without its content
	zoneLoads           map[string]*zoneLoad   // newest aggregate load of each other zone
	retainedRuns        loads.RetainedRuns
	retainedDemand      loads.RetainedDemand
	hops                success.Hops       // calls begun and lost by route, of all nodes
	attemptRates        map[string]float64 // first attempts a second by kind, as last counted
	internalRoutes      internalRoutes
	localZoneLoad       zoneLoad // aggregate load of this zone, as last sent
	zoneHosts           []string // known VMs of this zone
	reportSeq           int64
	usableFraction      overload.UsableFractionController
	suspects            suspectUpdates
	gateUtilization     float64 // utilization of the local gate's slots, smoothed
	nextStatsUpdate     time.Time
	members             zoneMembers
	nextSweep           time.Time
}

// loggedLines limits how often the plan and the local backend server are logged.
type loggedLines struct {
	nextPlanLog   time.Time
	nextUsableLog time.Time
	nextCallsLog  time.Time
	calls         map[string]callgraph.Rates // calls per run, by route
	shares        map[string]bool            // kinds with an admitted_share metric
	success       map[string]bool            // kinds with a request_success metric
}

// tickPeriod is the time between checks for due work.
const tickPeriod = 50 * time.Millisecond

// controlLoop runs the control goroutine until ctx ends.
func (n *Node) controlLoop(ctx context.Context) {
	ticks, stop := n.clock.NewTicker(tickPeriod)
	defer stop()
	n.publishView()
	for {
		select {
		case f := <-n.events:
			f()
		case <-ticks:
			n.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// enqueue passes work to the control goroutine; the work may be dropped once the node is halted.
func (n *Node) enqueue(f func()) {
	select {
	case n.events <- f:
	case <-n.done:
	}
}

// enqueueAndWait passes work to the control goroutine and waits until it is done. It returns false if ctx ends or the node is
// halted first; the work may still run then, so the caller must not read what it sets.
func (n *Node) enqueueAndWait(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	work := func() {
		defer close(done)
		f()
	}
	select {
	case n.events <- work:
	case <-ctx.Done():
		return false
	case <-n.done:
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-n.done:
		return false
	}
}

// tick does the work of the control goroutine that is due.
func (n *Node) tick(ctx context.Context) {
	if d := clock.DetectSuspension(n.clock); d > 0 {
		n.handleSuspension(d)
	}
	now := n.clock.Now()
	n.withdrawOverdueServer(now)
	n.gateMu.Lock()
	n.gate.Expire(now)
	n.gateMu.Unlock()
	waiting := n.waitingPeers()
	n.backOffUnresponsivePeers(now, waiting)
	n.queryOverdueRequests(ctx, now, waiting)
	n.fetchDueState(now)
	n.sendCleared(now)
	if !now.Before(n.control.nextSweep) {
		n.control.nextSweep = now.Add(sweepPeriod)
		n.forEachPool((*httpconn.Pool).CloseExpired)
		n.poison.RemoveExpired(now)
	}
	if !now.Before(n.control.nextStatsUpdate) {
		n.control.nextStatsUpdate = now.Add(learnPeriod)
		n.stats.updateLearner(now)
	}
	if !now.Before(n.control.nextPlan) {
		n.control.nextPlan = now.Add(planPeriod)
		n.reportLocalLoad(now)
		n.electFollowers(now)
		n.updateTeamRoles(now)
		n.replan(now)
	}
	if now.Before(n.control.nextExchange) {
		return
	}
	n.control.nextExchange = now.Add(n.jitter(n.exchangePeriod()))
	n.gossip(ctx)
}

// sweepPeriod is the time between closings of connections that have been idle for too long.
const sweepPeriod = time.Second

// forEachPool calls f for the connections to the local backend server and to each other node.
func (n *Node) forEachPool(f func(p *httpconn.Pool)) {
	f(n.backend.pool)
	n.peersMu.Lock()
	defer n.peersMu.Unlock()
	for _, p := range n.peers {
		f(p.pool)
	}
}

// publishView publishes the part of the control state that requests read.
func (n *Node) publishView() {
	v := &view{services: make(map[string][]*peer), localServer: n.control.localServer.Record()}
	all := n.control.directory.All()
	now := n.clock.Now()
	n.control.zoneHosts = nil
	for _, r := range all {
		if r.Zone == n.cfg.Zone {
			n.control.zoneHosts = append(n.control.zoneHosts, r.Host)
		}
		if r.Phase != directory.Serving {
			continue
		}
		p := n.peer(r.Host)
		p.updateFromRecord(now, r, n.cfg.Zone)
		v.services[r.Service] = append(v.services[r.Service], p)
	}
	n.view.Store(v)
	n.knownNodes.Store(int64(len(all)))
	n.updateRetryBudget()
}

// localServerChanged applies a change of the local backend server, first at the gate, then for other nodes; from names its source
// in the log.
func (n *Node) localServerChanged(from string, newLifetime bool) {
	r := n.control.localServer.Record()
	n.gateMu.Lock()
	if r.Phase != directory.Absent { // else the same lifetime may be back with its next heartbeat
		n.backend.startLifetime(n.clock.Now(), r.Lifetime())
	}
	if r.Phase == directory.Serving && !n.backend.isLeaving(r.Lifetime()) {
		n.gate.Open(r.Slots, newLifetime)
	} else {
		n.gate.Close()
	}
	n.gateMu.Unlock()
	n.control.recentRecords.add(n.clock.Now(), n.control.directory.Merge(r)...)
	n.publishView()
	n.controlLog.Info("local backend server changed", "instance", r.Instance, "service", r.Service, "phase", r.Phase.String(),
		"generation", r.Generation, "slots", r.Slots, "from", from)
	n.records.requestWrite(r)
	n.announce()
}

// withdrawOverdueServer stops the use of a local backend server that serves by a replica alone once its heartbeat is overdue: it may
// have left, and what knew of that may be lost.
func (n *Node) withdrawOverdueServer(now time.Time) {
	if n.control.localServer.WithdrawOverdue(now) {
		n.localServerChanged("overdue heartbeat", false)
	}
}

// mergeRecords merges records received from others; from names their source in the log.
func (n *Node) mergeRecords(from string, records []directory.Record) {
	for _, r := range records {
		if r.Host != n.ip || !n.control.localServer.Restore(n.clock.Now(), r) {
			continue
		}
		if r.Phase == directory.Serving {
			// An earlier process of this node sent this record and stored it at the same time; the next read of all
			// records shows whether it is stored. The record of a leaving server is always stored again.
			n.records.markDurable(r.Generation)
		}
		n.localServerChanged(from, true)
	}
	changed := n.control.directory.Merge(records...)
	if len(changed) == 0 {
		return
	}
	n.control.recentRecords.add(n.clock.Now(), changed...)
	for _, r := range changed {
		n.controlLog.Info("server record", "host", r.Host, "instance", r.Instance, "service", r.Service,
			"phase", r.Phase.String(), "generation", r.Generation, "from", from)
	}
	n.publishView()
	n.electFollowers(n.clock.Now())
}

// KnowsService reports whether a service is that of this VM or appears in the desired state.
func (n *Node) KnowsService(service string) bool {
	return service == n.cfg.Service || n.state.Load().HasService(service)
}

// RecordRefusedHeartbeat counts and logs a call on the control listener that is no valid registration.
func (n *Node) RecordRefusedHeartbeat(path string, err error) {
	n.metrics.count("heartbeats_refused_total")
	n.controlLog.Warn("heartbeat refused", "path", path, "err", err)
}

// Heartbeat handles a heartbeat of the local backend server. For a draining server it returns once the drain is recorded outside this
// process, or can't be for now; this node sends the server no requests from then on. The error, a *DrainIgnoredError, reports a
// drain that isn't applied and must not be confirmed.
func (n *Node) Heartbeat(ctx context.Context, r directory.Registration) error {
	var generation int64
	ignored := false
	done := n.enqueueAndWait(ctx, func() {
		before := n.control.localServer.Record()
		if n.control.localServer.Heartbeat(n.clock.Now(), r) {
			n.localServerChanged("heartbeat", before.FirstGeneration != n.control.localServer.Record().FirstGeneration)
		}
		if n.control.localServer.Record().Lifetime() == r.Lifetime() {
			n.setNotListening(false)
		}
		own := n.control.localServer.Record()
		generation = own.Generation
		ignored = r.Draining && own.Instance == r.Instance && own.Phase == directory.Serving
	})
	switch {
	case !r.Draining:
	case !done:
		return &DrainIgnoredError{r.Instance, "the node is ending"}
	case ignored:
		return &DrainIgnoredError{r.Instance, "it isn't of the current lifetime, or doesn't name its start"}
	default:
		n.awaitStored(ctx, r.Instance, generation)
	}
	return nil
}

// DrainIgnoredError reports a heartbeat of a draining server that isn't applied.
type DrainIgnoredError struct {
	Instance string
	Reason   string
}

// Error names the instance and the reason.
func (e *DrainIgnoredError) Error() string {
	return fmt.Sprintf("drain of %s ignored: %s", e.Instance, e.Reason)
}

// Leave handles the local backend server's announcement that the given lifetime ends. It returns once that is recorded, or can't be for now.
func (n *Node) Leave(ctx context.Context, at directory.Lifetime) {
	var generation int64
	done := n.enqueueAndWait(ctx, func() {
		if n.control.localServer.Leave(at) {
			n.localServerChanged("leave", false)
		}
		generation = n.control.localServer.Record().Generation
	})
	if done {
		n.awaitStored(ctx, at.Instance, generation)
	}
}

// awaitStored waits until the store has the record of a leaving server, and logs if that can't be for now.
func (n *Node) awaitStored(ctx context.Context, instance string, generation int64) {
	if !n.records.awaitDurable(ctx, generation) {
		n.controlLog.Warn("confirming a leaving server that isn't stored yet", "instance", instance, "generation", generation)
	}
}

// withPort returns host with the port of addr, or host alone if addr has no port.
func withPort(host, addr string) string {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return host
	}
	return net.JoinHostPort(host, port)
}
