package mesh

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/freshness"
)

// stateProofs is a freshness.Keeper that all goroutines of a node use, and when it asks for younger proofs.
type stateProofs struct {
	mu sync.Mutex
	freshness.ProofTracker

	schedule        freshness.Schedule // proveState's
	reading, asking atomic.Bool        // a call is on its way
}

// with looks at or changes what is held.
func (p *stateProofs) with(f func(k *freshness.ProofTracker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.ProofTracker)
}

// proofPath is where nodes ask each other for proofs.
const proofPath = "/proof"

const (
	// provePoll is the time between looks at whether it is time to ask.
	provePoll = 50 * time.Millisecond
	// proveTime bounds a call to the store: one that isn't answered by then is made again.
	proveTime = 600 * time.Millisecond
	// proofTime bounds a question to another node.
	proofTime = 250 * time.Millisecond
)

// proofAnswer is what a node tells of the youngest proof that it holds; its zero value is that it has none.
type proofAnswer struct {
	Version int64         `codec:"v"`
	Age     time.Duration `codec:"a"` // when the answer was written
}

// proveState keeps the proof of this node young while keys have to be revoked strictly.
func (n *Node) proveState(ctx context.Context) {
	if !n.cfg.Mesh.StrictRevoke || n.cfg.Mesh.FirstStart && !clock.Sleep(ctx, firstElectionDelay) {
		return
	}
	for clock.Sleep(ctx, provePoll) {
		if n.state.Load() == nil || len(n.roles.Load().proofs.Readers) == 0 {
			continue
		}
		n.proveNext(ctx)
	}
}

// proveNext does what is due.
func (n *Node) proveNext(ctx context.Context) {
	roles := n.roles.Load().proofs
	age, known := n.proofAge()
	switch n.proofs.schedule.Next(clock.Boot(n.clock), age, known, roles.IsReader(n.ip)) {
	case freshness.ReadStore:
		startUnlessBusy(&n.proofs.reading, func() { n.readProof(ctx) })
	case freshness.QueryUpstream:
		startUnlessBusy(&n.proofs.asking, func() { n.askProof(ctx, n.anyOf(roles.QueryTargets(n.ip))) })
	case freshness.QueryAnyNode:
		startUnlessBusy(&n.proofs.asking, func() { n.askProof(ctx, n.anyNode(ctx)) })
	case freshness.Wait:
	}
}

// startUnlessBusy starts a call unless the last one is still on its way.
func startUnlessBusy(busy *atomic.Bool, call func()) {
	if !busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer busy.Store(false)
		call()
	}()
}

// anyOf returns one of the hosts that can be reached, but not this node, or "".
func (n *Node) anyOf(hosts []string) string {
	for _, i := range rand.Perm(len(hosts)) {
		if h := hosts[i]; h != n.ip && n.peer(h).reachable() {
			return h
		}
	}
	return ""
}

// anyNode returns any other node, or "".
func (n *Node) anyNode(ctx context.Context) string {
	var hosts []string
	if n.ask(ctx, func() {
		for _, t := range n.exchangeTargets(announceFanout, anyZone) {
			hosts = append(hosts, t.host)
		}
	}) {
		return n.anyOf(hosts)
	}
	return ""
}

// readProof reads the desired state from the store. A read is answered by the store as of one moment; its feed of changes
// may be late, and silent.
func (n *Node) readProof(ctx context.Context) {
	sent, own := clock.Boot(n.clock), n.stateVersion()
	var data []byte
	err := n.callStore(ctx, n.storeWatch.newAttempt(), proveStateCall, proveTime, func(ctx context.Context) (err error) {
		data, _, err = n.store.ReadState(ctx)
		return err
	})
	if err != nil {
		n.controlLog.Debug("no proof from the store", "err", err)
		return
	}
	n.proven(sent, own, n.applyStored(data))
}

// proven takes the version that the store had in answer to a call that was sent when another one was in force here; 0: it had none that can be read. One that is
// older than that one proves nothing: the store has lost what it had acknowledged.
func (n *Node) proven(sent time.Time, own, version int64) {
	switch {
	case !n.cfg.Mesh.StrictRevoke || version == 0 || !n.era.proves(sent):
	case version < own:
		n.controlLog.Warn("the store has an older desired state than the one in force", "version", version, "own", own)
	default:
		n.takeProof(freshness.Proof{Version: version, Sent: sent})
	}
}

// takeProof takes a proof that the store or another node gave.
func (n *Node) takeProof(p freshness.Proof) {
	n.proofs.with(func(k *freshness.ProofTracker) { k.AddProof(p, n.stateVersion()) })
}

// proofAge returns how old the proof for the state in force is; known is false if there is none.
func (n *Node) proofAge() (age time.Duration, known bool) {
	now, own := clock.Boot(n.clock), n.stateVersion()
	n.proofs.with(func(k *freshness.ProofTracker) { age, known = k.ProofAge(now, own) })
	return age, known
}

// askProof asks a node for its proof. What it says is taken as of when the question was sent: how long the answer was on
// its way isn't known.
func (n *Node) askProof(ctx context.Context, host string) {
	if host == "" {
		return
	}
	sent := clock.Boot(n.clock)
	var a proofAnswer
	if err := n.askNode(ctx, host, proofPath, proofTime, nil, &a); err != nil || a.Version <= 0 || a.Age < 0 {
		return
	}
	n.takeProof(freshness.Proof{Version: a.Version, Sent: sent.Add(-a.Age)})
	n.noteVersion(host, a.Version)
}

// serveProof tells a node the youngest proof.
func (n *Node) serveProof(w http.ResponseWriter, _ *http.Request) {
	own := n.stateVersion()
	var a proofAnswer
	n.proofs.with(func(k *freshness.ProofTracker) {
		now := clock.Boot(n.clock)
		if age, known := k.ProofAge(now, own); known {
			a = proofAnswer{Version: k.YoungestProof(own).Version, Age: age}
		}
	})
	n.answerNode(w, a)
}
