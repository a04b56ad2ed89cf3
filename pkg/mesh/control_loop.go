package mesh

import (
	"context"
	"net"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/httpconn"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
)

// controlState belongs to the control goroutine.
type controlState struct {
	own         directory.OwnServer
	directory   directory.Directory
	news        recentRecords
	newer       newerState
	nextTalk    time.Time
	newsUrgent  bool    // news has to spread sooner than usually
	usualComing float64 // requests a second that came to this node, over some seconds
	nextPlan    time.Time
	shown       shownLines
	reports     map[string]*nodeReport // newest of each node of this zone, by host
	lapsed      map[string]*nodeReport // the last that counted of nodes that fell silent, without what it said
	zones       map[string]*zoneLoad   // newest sum of each other zone
	kept        loads.KeptRuns
	demand      loads.KeptDemand
	asked       map[string]float64 // first attempts a second by kind, as last counted
	judged      judgedRoutes
	ownZone     zoneLoad // sum of this zone, as last told to others
	zoneHosts   []string // VMs of this zone that are known
	reportSeq   int64
	room        overload.RoomControl
	suspects    suspectNews
	gateUse     float64 // of the own gate's slots, smoothed
	nextLook    time.Time
	members     zoneMembers
	nextSweep   time.Time
}

// shownLines is what was written of the plan and the own server, so that not everything is written all the time.
type shownLines struct {
	nextPlan  time.Time
	nextRoom  time.Time
	nextCalls time.Time
	calls     map[string]callgraph.Rates // of a run, by route
	shares    map[string]bool            // routes with a metric of their share
}

// tickPeriod is the time between looks at what is due.
const tickPeriod = 50 * time.Millisecond

// controlLoop owns the control state until ctx ends.
func (n *Node) controlLoop(ctx context.Context) {
	ticks, stop := n.clock.NewTicker(tickPeriod)
	defer stop()
	n.publish()
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

// do hands a piece of work to the control goroutine; once the node ends it may be dropped.
func (n *Node) do(f func()) {
	select {
	case n.events <- f:
	case <-n.ended:
	}
}

// ask has the control goroutine do a piece of work and waits for its end; it reports false if ctx or the node ends first.
// The work may still be done then, so what it sets must not be looked at.
func (n *Node) ask(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	work := func() {
		defer close(done)
		f()
	}
	select {
	case n.events <- work:
	case <-ctx.Done():
		return false
	case <-n.ended:
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-n.ended:
		return false
	}
}

func (n *Node) tick(ctx context.Context) {
	if d := clock.NoteSuspension(n.clock); d > 0 {
		n.resumed(d)
	}
	now := n.clock.Now()
	n.gateMu.Lock()
	n.gate.Expire(now)
	n.gateMu.Unlock()
	n.leaveSilentPeers(now)
	n.askForAwaited(ctx, now)
	n.fetchDueState(now)
	n.tellCleared(now)
	if !now.Before(n.control.nextSweep) {
		n.control.nextSweep = now.Add(sweepPeriod)
		n.eachPool((*httpconn.Pool).Sweep)
		n.poison.RemoveExpired(now)
	}
	if !now.Before(n.control.nextLook) {
		n.control.nextLook = now.Add(learnPeriod)
		n.stats.updateLearner(now)
	}
	if !now.Before(n.control.nextPlan) {
		n.control.nextPlan = now.Add(planPeriod)
		n.reportLocalLoad(now)
		n.electFollowers(now)
		n.chooseTeamRoles(now)
		n.replan(now)
	}
	if now.Before(n.control.nextTalk) {
		return
	}
	n.control.nextTalk = now.Add(jitter(n.exchangePeriod()))
	n.gossip(ctx)
}

// sweepPeriod is the time between closings of connections that have rested too long.
const sweepPeriod = time.Second

// eachPool does something with all connections to other nodes and to the backend server.
func (n *Node) eachPool(f func(p *httpconn.Pool)) {
	f(n.backend.pool)
	n.peersMu.Lock()
	defer n.peersMu.Unlock()
	for _, p := range n.peers {
		f(p.pool)
	}
}

// publish makes the control state visible to requests.
func (n *Node) publish() {
	v := &view{services: make(map[string][]*peer), own: n.control.own.Record()}
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
		p.describe(now, r, n.cfg.Zone)
		v.services[r.Service] = append(v.services[r.Service], p)
	}
	n.view.Store(v)
	n.nodes.Store(int64(len(all)))
	n.tuneBudget()
}

// ownChanged follows a change of this VM's backend server: the gate first, then the others.
func (n *Node) ownChanged(fresh bool) {
	r := n.control.own.Record()
	n.gateMu.Lock()
	if r.Phase == directory.Serving {
		n.gate.Open(r.Slots, fresh)
	} else {
		n.gate.Close()
	}
	n.gateMu.Unlock()
	n.control.news.add(n.clock.Now(), n.control.directory.Merge(r)...)
	n.publish()
	n.controlLog.Info("own server changed", "instance", r.Instance, "service", r.Service, "phase", r.Phase.String(),
		"generation", r.Generation, "slots", r.Slots)
	n.records.requestWrite(r)
	n.announce()
}

// merge takes records that were heard, by what way is for the log.
func (n *Node) merge(from string, records []directory.Record) {
	for _, r := range records {
		if r.Host != n.ip || !n.control.own.Recall(r) {
			continue
		}
		if r.Phase == directory.Serving {
			// An earlier life of this node told them and stored it at the same time; the next reading of all records shows
			// whether that is so. A server that is leaving isn't left to that.
			n.records.markDurable(r.Generation)
		}
		n.ownChanged(true)
	}
	news := n.control.directory.Merge(records...)
	if len(news) == 0 {
		return
	}
	n.control.news.add(n.clock.Now(), news...)
	for _, r := range news {
		n.controlLog.Info("server record", "host", r.Host, "instance", r.Instance, "service", r.Service,
			"phase", r.Phase.String(), "generation", r.Generation, "from", from)
	}
	n.publish()
	n.electFollowers(n.clock.Now())
}

// NamesService tells whether a service is that of this VM, or one that the desired state names.
func (n *Node) NamesService(service string) bool {
	return service == n.cfg.Service || n.state.Load().Names(service)
}

// RefusedHeartbeat notes a call on the control listener that names no server.
func (n *Node) RefusedHeartbeat(path string, err error) {
	n.metrics.count("heartbeats_refused_total")
	n.controlLog.Warn("heartbeat refused", "path", path, "err", err)
}

// Heartbeat takes a heartbeat of the backend server on this VM. For one that drains it returns when that
// is recorded beyond this process, or can't be for now; this node itself sends it nothing from then on.
func (n *Node) Heartbeat(ctx context.Context, r directory.Registration) {
	var generation int64
	done := n.ask(ctx, func() {
		before := n.control.own.Record()
		if n.control.own.Heartbeat(n.clock.Now(), r) {
			n.ownChanged(before.Since != n.control.own.Record().Since)
		}
		if n.control.own.Record().Lifetime() == r.Lifetime() {
			n.noteAway(false)
		}
		generation = n.control.own.Record().Generation
	})
	if done && r.Draining {
		n.records.awaitDurable(ctx, generation)
	}
}

// Leave takes the word of the backend server that it ends.
func (n *Node) Leave(ctx context.Context, at directory.Lifetime) {
	var generation int64
	done := n.ask(ctx, func() {
		if n.control.own.Leave(at) {
			n.ownChanged(false)
		}
		generation = n.control.own.Record().Generation
	})
	if done {
		n.records.awaitDurable(ctx, generation)
	}
}

// withPort returns the host with the port of another address.
func withPort(host, addr string) string {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return host
	}
	return net.JoinHostPort(host, port)
}
