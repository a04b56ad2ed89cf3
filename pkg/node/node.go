package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/quic-go/quic-go/http3"

	"github.com/rockspoke/rockspoke/pkg/admission"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/level"
	"github.com/rockspoke/rockspoke/pkg/metric"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/repeat"
	"github.com/rockspoke/rockspoke/pkg/routing"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// Node is one running daemon.
type Node struct {
	cfg            settings.Settings
	incarnation    string
	clock          clock.Clock
	platform       store.Platform
	keys           *keys.Store
	network        Network
	unknownMessage func(path string) bool
	metrics        *metric.Set
	log            logs

	// Control state: only the control goroutine changes it; calls read the snapshot.
	control  chan func(*controlState)
	snapshot atomic.Pointer[snapshot]

	// State that all calls share.
	pool          routing.Pool
	levels        level.View
	latencyFloors latencyFloorTable
	gate          *lockedGate
	home          *lockedHome
	guard         repeat.Guard
	notes         chan repeat.RetryNotice
	inbounds      sync.Map // id to *inbound
	nextID        atomic.Uint64
	running       atomic.Int64 // calls and runs in progress; Stop waits until it is 0
	leaving       atomic.Bool

	rndMu sync.Mutex
	rnd   *rand.Rand

	peers   *peerClients
	backend *http.Transport

	callers  *http.Server // nil unless the settings name its address
	outbound *http.Server // likewise
	peerHTTP *http3.Server
	stop     context.CancelFunc
	ctx      context.Context
	stopped  chan struct{} // closed when the control goroutine returns
	once     sync.Once
}

// logs holds a logger for each part of the daemon.
type logs struct {
	call, control, peer, leave, once *slog.Logger
}

// New returns a daemon that isn't started yet; the error is a *keys.IdentityError if the keys belong to
// another VM or zone.
func New(opts Options) (*Node, error) {
	cfg := opts.Settings
	cfg.SetDefaults()
	if id := opts.Keys.Current().Identity; id.Role != keys.RoleVM || id.Name != cfg.VM || id.Zone != cfg.Zone {
		return nil, &keys.IdentityError{Want: fmt.Sprintf("VM %s in zone %s", cfg.VM, cfg.Zone), Have: id.Name + " in zone " + id.Zone}
	}
	logger := opts.Logger
	if logger == nil {
		logger = func(string) *slog.Logger { return slog.New(slog.DiscardHandler) }
	}
	seed := opts.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	n := &Node{
		cfg: cfg, clock: opts.Clock, platform: opts.Platform, keys: opts.Keys,
		network: opts.Network.withDefaults(), unknownMessage: opts.UnknownMessage, metrics: opts.Metrics,
		log: logs{
			call: logger("call"), control: logger("control"), peer: logger("peer"),
			leave: logger("leave"), once: logger("once-only"),
		},
		control: make(chan func(*controlState), 256),
		notes:   make(chan repeat.RetryNotice, maxQueuedNotes),
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		stopped: make(chan struct{}),
	}
	n.incarnation = fmt.Sprintf("%013d-%s", n.clock.Now().UnixMilli(), uuid.NewString()[:8])
	if n.metrics == nil {
		n.metrics = metric.NewSet()
	}
	n.home = newLockedHome(onceonly.Home{
		Service: cfg.Service, VM: cfg.VM, Incarnation: n.incarnation,
		Memory: onceonly.KeyMemory{
			Window: cfg.OnceOnly.Window, MaxKeys: cfg.OnceOnly.MaxKeys, AnswerBytes: cfg.OnceOnly.AnswerBytes,
		},
	})
	n.snapshot.Store(&snapshot{})
	return n, nil
}

// gateTickPeriod is the period at which the gate checks its queue.
const gateTickPeriod = 10 * time.Millisecond

// Start binds the listeners, loads the configuration and begins to serve.
func (n *Node) Start(ctx context.Context) error {
	n.ctx, n.stop = context.WithCancel(context.WithoutCancel(ctx))
	n.gate = newLockedGate(admission.NewGate(admission.Settings{
		Slots: 1, MinLimit: n.cfg.Admission.Floor, TargetDelay: n.cfg.Admission.Target,
		MaxSojourn: n.cfg.Admission.MaxSojourn, RampTime: n.cfg.Backend.Ramp,
	}, n.clock.Now()))
	n.backend = n.newBackendTransport()
	if err := n.startPeers(); err != nil {
		n.stop()
		close(n.stopped) // there is no control goroutine to wait for
		return err
	}
	state := newControlState(n)
	n.loadState(ctx, state)
	n.publishSnapshot(state)
	go n.controlLoop(state)
	go n.runGateTicks()
	if cfg := n.cfg.Listen; cfg.Callers != "" {
		go n.broadcastRetryNotes()
	}
	if err := n.startHTTP(); err != nil {
		return errors.Join(err, n.Close())
	}
	n.log.control.Info("daemon started", "vm", n.cfg.VM, "zone", n.cfg.Zone, "service", n.cfg.Service,
		"version", n.snapshot.Load().version(), "incarnation", n.incarnation)
	return nil
}

// runGateTicks ticks the gate and publishes its metrics until the daemon stops.
func (n *Node) runGateTicks() {
	ticks, stop := n.clock.NewTicker(gateTickPeriod)
	defer stop()
	for {
		select {
		case <-ticks:
			n.gate.tick(n.clock.Now())
			n.publishGateMetrics()
		case <-n.ctx.Done():
			return
		}
	}
}

// publishGateMetrics sets the metrics of the gate's limit, running and queued calls, and level.
func (n *Node) publishGateMetrics() {
	r := n.gate.read(n.clock.Now())
	n.metrics.Set("limit", int64(r.Limit))
	n.metrics.Set("running", int64(r.Running))
	n.metrics.Set("queued", int64(r.Queued))
	n.metrics.Set("level", int64(r.Level))
}

// Close stops the daemon at once: it neither leaves first nor waits for calls in progress.
func (n *Node) Close() error {
	n.once.Do(func() {
		n.stop()
		for _, s := range []*http.Server{n.callers, n.outbound} {
			if s != nil {
				_ = s.Close() // Close also ends open connections, as intended
			}
		}
		if n.peerHTTP != nil {
			_ = n.peerHTTP.Close()
		}
		if n.peers != nil {
			n.peers.close()
		}
		if n.backend != nil {
			n.backend.CloseIdleConnections()
		}
	})
	<-n.stopped
	return nil
}

// withRand calls fn with the daemon's random source locked.
func (n *Node) withRand(fn func(*rand.Rand)) {
	n.rndMu.Lock()
	defer n.rndMu.Unlock()
	fn(n.rnd)
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (n *Node) jitter(d time.Duration) time.Duration {
	var f float64
	n.withRand(func(r *rand.Rand) { f = r.Float64() })
	return time.Duration(float64(d) * (0.5 + f))
}

// Incarnation returns the ID of this run of the daemon; a later run's ID sorts after it.
func (n *Node) Incarnation() string { return n.incarnation }

// VM returns the name of the daemon's VM.
func (n *Node) VM() string { return n.cfg.VM }
