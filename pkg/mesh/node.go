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
	"github.com/rockspoke/rockspoke/pkg/pipeline"
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
	random  *rand.Rand                  // safe for concurrent use
	off     map[settings.Mechanism]bool // mechanisms that are switched off; never changed
	ip      string
	epoch   int64 // identifies this process among earlier ones of the node

	callLog, controlLog *slog.Logger

	state          atomic.Pointer[desired.State]
	followTracker  sharedFollowTracker
	conflict       stateConflict
	proofs         freshnessProofs
	quotas         teamQuotas
	roles          atomic.Pointer[teamRoles]
	storeEpoch     storeEpoch
	learnedRestore learnedRestore
	view           atomic.Pointer[view]
	started        time.Time
	knownNodes     atomic.Int64 // number of known nodes, including this one
	stop           stopState
	backend        *backend

	gateMu        sync.Mutex
	gate          gate.Gate
	gateScheduled bool // a timer is set that starts queued tickets

	metrics            nodeMetrics
	budgetLog          budgetLog
	stats              trafficStats
	plan               atomic.Pointer[admissionPlan]
	retryBudgetMu      sync.Mutex
	retryBudget        overload.RetryBudget
	poison             poison.Table
	forwarded          poison.SuccessTracker // successful runs of requests that this node sent to any server
	timeLimits         clock.Deadlines       // of requests in flight
	bodyBytes          byteBudget            // of request bodies that this node holds
	answerBytes        byteBudget            // of answers that this node holds until they are written
	peerRequests       awaited.InProgress    // requests of other nodes in flight here
	serverNotListening atomic.Bool           // the local backend server has crashed and hasn't been seen since
	clients            clientconns.Connections
	pipelined          *pipeline.Server // of the clients' requests; nil: the mechanism is off

	peersMu sync.Mutex
	peers   map[string]*peer

	events            chan func()
	done              chan struct{} // closed when the node is halted; made before the start, since a signal handler may enqueue work by then
	control           controlState
	records           recordWriter
	storeAvailability storeAvailability

	servers []*http.Server
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// view is the part of the control state that requests read.
type view struct {
	services    map[string][]*peer // servers that accept requests, by service
	localServer directory.Record
}

// New returns a node that isn't started yet.
func New(o Options) (*Node, error) {
	host, _, err := net.SplitHostPort(o.Settings.Listen.Peers)
	if err != nil {
		return nil, eris.Wrap(err, "listen.peers")
	}
	n := &Node{
		cfg: o.Settings, names: o.Names, store: o.Store, decode: o.Decode, clock: o.Clock, network: o.Network,
		random: rand.New(randomSource{o.Random}), forwarded: poison.SuccessTracker{ExactOnly: true},
		off: o.Settings.Mesh.DisabledMechanisms(), ip: host, epoch: o.Clock.Now().UnixMilli(),
		callLog: o.Logger("call"), controlLog: o.Logger("control"),
		peers:  make(map[string]*peer),
		events: make(chan func(), eventQueueSize),
		done:   make(chan struct{}),
	}
	n.backend = newBackend(n)
	n.control.localServer.Host = host
	n.control.reports = make(map[string]*nodeReport)
	n.control.expiredReports = make(map[string]*nodeReport)
	n.control.zoneLoads = make(map[string]*zoneLoad)
	n.control.logged = loggedLines{calls: make(map[string]callgraph.Rates), shares: make(map[string]bool), success: make(map[string]bool)}
	n.records.init()
	n.stats.init()
	n.stats.learner.NoLateCalls = n.off[settings.LateCalls]
	n.gate.FIFO = n.off[settings.GateOrder]
	n.metrics.init()
	n.poison.Policy = o.Settings.Mesh.Quarantine.Policy()
	n.followTracker.peersQueried = make(chan struct{})
	n.followTracker.ApplyBound = o.Settings.Mesh.Apply
	n.proofs.Bound, n.proofs.schedule.Bound = o.Settings.Mesh.Revoke, o.Settings.Mesh.Revoke
	n.quotas.owner.Config = quotaConfig(o.Settings.Mesh)
	n.roles.Store(&teamRoles{})
	n.learnedRestore.fromPeer = o.Settings.Mesh.FirstStart // there is nothing to learn from others yet
	n.learnedRestore.complete.Store(o.Settings.Mesh.FirstStart || n.off[settings.LearnedMemory])
	n.updateRetryBudget()
	n.view.Store(&view{})
	n.servers = n.newServers(o.Settings.Listen, o.Control(n))
	return n, nil
}

// eventQueueSize is how much work for the control goroutine may be queued.
const eventQueueSize = 1024

// Start binds the listeners and starts the background work; it returns an error if an address can't be bound.
func (n *Node) Start(ctx context.Context) error {
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() { close(n.done) })
	n.started = n.clock.Now()
	if due := n.cfg.Mesh.Heartbeat; due > 0 {
		n.control.localServer.HeartbeatDue = n.started.Add(due + due/2)
	}
	if n.cfg.Mesh.FirstStart {
		n.quotas.owner.FillOnceAt = clock.BootNow(n.clock).Add(quota.SettleTime)
	}
	for _, s := range n.servers {
		if err := n.listen(s); err != nil {
			n.cancel()
			return err
		}
	}
	n.startBackground(func() { n.controlLoop(ctx) })
	n.startBackground(func() { n.followState(ctx) })
	n.startBackground(func() { n.syncRecords(ctx) })
	n.startBackground(func() { n.writeRecords(ctx) })
	n.startBackground(func() { n.storeLearned(ctx) })
	n.startBackground(func() { n.storeQuarantined(ctx) })
	n.startBackground(func() { n.keepProofFresh(ctx) })
	n.controlLog.Info("started", "host", n.ip, "zone", n.cfg.Zone, "service", n.cfg.Service, "epoch", n.epoch, "off", n.cfg.Mesh.Off)
	return nil
}

// startBackground runs f in a goroutine that halt waits for.
func (n *Node) startBackground(f func()) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		f()
	}()
}

// Ready reports whether this node can serve requests.
func (n *Node) Ready() bool { return n.state.Load() != nil && !n.stop.stopping() }

// How long requests wait while a node that has just started knows too little to serve them.
const (
	// startupWait is how long after the start requests may wait. Reading the store takes some tens of milliseconds, and the backend
	// server's calls and its clients don't pause while the node restarts.
	startupWait = 800 * time.Millisecond
	// startupPollInterval is the time between checks of what is known by now.
	startupPollInterval = 5 * time.Millisecond
)

// pollDuringStartup waits for startupPollInterval if the node has just started; it returns false if the caller should stop waiting.
func (n *Node) pollDuringStartup(ctx context.Context) bool {
	return n.clock.Now().Sub(n.started) < startupWait && clock.Sleep(ctx, startupPollInterval)
}
