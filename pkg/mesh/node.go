package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rockspoke/rockspoke/pkg/awaited"
	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/clientconns"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/overload"
	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/quota"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// Node is one daemon of the mesh.
type Node struct {
	cfg     settings.Settings
	names   HeaderNames
	store   Store
	decode  func([]byte) (*desired.State, error)
	clock   clock.Clock
	network Network
	off     map[settings.Mechanism]bool // never changed
	ip      string
	epoch   int64 // tells this life of the process from earlier ones

	callLog, controlLog *slog.Logger

	state     atomic.Pointer[desired.State]
	watch     stateWatch
	proofs    stateProofs
	quotas    teamQuotas
	roles     atomic.Pointer[teamRoles]
	era       storeEpoch
	knowledge startKnowledge
	view      atomic.Pointer[view]
	started   time.Time
	nodes     atomic.Int64 // known, this one included
	stop      stopState
	backend   *backend

	gateMu sync.Mutex
	gate   gate.Gate

	metrics  nodeMetrics
	stats    trafficStats
	plan     atomic.Pointer[admissionPlan]
	budgetMu sync.Mutex
	budget   overload.RepeatBudget
	poison   poison.Table
	limits   clock.Limits       // of requests in progress
	present  awaited.InProgress // requests of other nodes that are here
	away     atomic.Bool        // the server on this VM has ended and wasn't heard since
	clients  clientconns.Connections

	peersMu sync.Mutex
	peers   map[string]*peer

	events     chan func()
	ended      chan struct{} // closed when the node is told to end; made before its start, since a signal may hand over work by then
	control    controlState
	records    recordWriter
	storeWatch storeAvailability

	servers []*http.Server
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// view is what requests see of the control state.
type view struct {
	services map[string][]*peer // servers that take work, by service
	own      directory.Record
}

// New returns a node that isn't started.
func New(o Options) (*Node, error) {
	host, _, err := net.SplitHostPort(o.Settings.Listen.Peers)
	if err != nil {
		return nil, eris.Wrap(err, "listen.peers")
	}
	n := &Node{
		cfg: o.Settings, names: o.Names, store: o.Store, decode: o.Decode, clock: o.Clock, network: o.Network,
		off: o.Settings.Mesh.OffSet(), ip: host, epoch: o.Clock.Now().UnixMilli(),
		callLog: o.Logger("call"), controlLog: o.Logger("control"),
		peers:  make(map[string]*peer),
		events: make(chan func(), eventQueue),
		ended:  make(chan struct{}),
	}
	n.backend = newBackend(n)
	n.control.own.Host = host
	n.control.reports = make(map[string]*nodeReport)
	n.control.lapsed = make(map[string]*nodeReport)
	n.control.zones = make(map[string]*zoneLoad)
	n.control.shown = shownLines{calls: make(map[string]callgraph.Rates), shares: make(map[string]bool)}
	n.records.init()
	n.stats.init()
	n.stats.learner.CallsAreOnTime = n.off[settings.LateCalls]
	n.gate.ByArrival = n.off[settings.GateOrder]
	n.metrics.init()
	n.poison.Policy = o.Settings.Mesh.HeldBack.Rules()
	n.watch.peersQueried = make(chan struct{})
	n.watch.ApplyBound = o.Settings.Mesh.Apply
	n.proofs.Bound, n.proofs.schedule.Bound = o.Settings.Mesh.Revoke, o.Settings.Mesh.Revoke
	n.quotas.owner.Config = quotaRules(o.Settings.Mesh)
	n.roles.Store(&teamRoles{})
	n.knowledge.fromPeer = o.Settings.Mesh.FirstStart // nobody knows anything yet
	n.knowledge.complete.Store(o.Settings.Mesh.FirstStart || n.off[settings.LearnedMemory])
	n.tuneBudget()
	n.view.Store(&view{})
	n.servers = n.newServers(o.Settings.Listen, o.Control(n))
	return n, nil
}

// eventQueue is how many control events may wait.
const eventQueue = 1024

// Start binds the listeners and starts control work.
func (n *Node) Start(ctx context.Context) error {
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() { close(n.ended) })
	n.started = n.clock.Now()
	if n.cfg.Mesh.FirstStart {
		n.quotas.owner.FillOnceAt = clock.Boot(n.clock).Add(quota.SettleTime)
	}
	for _, s := range n.servers {
		if err := n.listen(s); err != nil {
			n.cancel()
			return err
		}
	}
	n.run(func() { n.controlLoop(ctx) })
	n.run(func() { n.followState(ctx) })
	n.run(func() { n.syncRecords(ctx) })
	n.run(func() { n.writeRecords(ctx) })
	n.run(func() { n.storeLearned(ctx) })
	n.run(func() { n.keepHeld(ctx) })
	n.run(func() { n.proveState(ctx) })
	n.controlLog.Info("started", "host", n.ip, "zone", n.cfg.Zone, "service", n.cfg.Service, "epoch", n.epoch, "off", n.cfg.Mesh.Off)
	return nil
}

// run starts control work or a listener that halt waits for.
func (n *Node) run(f func()) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		f()
	}()
}

// Ready tells whether this node can serve.
func (n *Node) Ready() bool { return n.state.Load() != nil && !n.stop.leaving() }

// The wait of requests that come while a node that has just started knows too little to serve them.
const (
	// startWait after the start is how long they wait: reading the store takes some hundredths of a second, and
	// the backend server's calls and its clients don't stop for the restart of its node.
	startWait = 800 * time.Millisecond
	// startPoll is the time between looks at what is known by now.
	startPoll = 5 * time.Millisecond
)

// awaitNews waits a moment for news if the node has just started; it reports whether it is worth another look.
func (n *Node) awaitNews(ctx context.Context) bool {
	return n.clock.Now().Sub(n.started) < startWait && clock.Sleep(ctx, startPoll)
}

// jitter returns a random time from half of d to one and a half of it, so that nodes don't act in step.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
