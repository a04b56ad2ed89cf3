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

// freshnessProofs is a freshness.Keeper that all goroutines of a node use, and when it asks for younger proofs.
type freshnessProofs struct {
	mu sync.Mutex
	freshness.Keeper

	schedule            freshness.Schedule // proveState's
	reading, requesting atomic.Bool        // a call is on its way
}

// withKeeper looks at or changes what is held.
func (p *freshnessProofs) withKeeper(f func(k *freshness.Keeper)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.Keeper)
}

// proofPath is where nodes ask each other for proofs.
const proofPath = "/proof"

const (
	// proofPollInterval is the time between looks at whether it is time to ask.
	proofPollInterval = 50 * time.Millisecond
	// proofReadTimeout bounds a call to the store: one that isn't answered by then is made again.
	proofReadTimeout = 600 * time.Millisecond
	// proofRequestTimeout bounds a question to another node.
	proofRequestTimeout = 250 * time.Millisecond
)

// proofResponse is what a node tells of the youngest proof that it holds; its zero value is that it has none.
type proofResponse struct {
	Version int64         `codec:"v"`
	Age     time.Duration `codec:"a"` // when the answer was written
}

// keepProofFresh keeps the proof of this node young while keys have to be revoked strictly.
func (n *Node) keepProofFresh(ctx context.Context) {
	if !n.cfg.Mesh.StrictRevoke || n.cfg.Mesh.FirstStart && !clock.Sleep(ctx, firstLook) {
		return
	}
	for clock.Sleep(ctx, proofPollInterval) {
		if n.state.Load() == nil || len(n.roles.Load().proofs.Readers) == 0 {
			continue
		}
		n.refreshProofIfDue(ctx)
	}
}

// refreshProofIfDue does what is due.
func (n *Node) refreshProofIfDue(ctx context.Context) {
	roles := n.roles.Load().proofs
	age, known := n.proofAge()
	switch n.proofs.schedule.Next(clock.Boot(n.clock), age, known, roles.Reads(n.ip)) {
	case freshness.Read:
		startUnlessBusy(&n.proofs.reading, func() { n.readProofFromStore(ctx) })
	case freshness.Ask:
		startUnlessBusy(&n.proofs.requesting, func() { n.requestProof(ctx, n.randomReachableHost(roles.Asked(n.ip))) })
	case freshness.AskWider:
		startUnlessBusy(&n.proofs.requesting, func() { n.requestProof(ctx, n.randomReachableNode(ctx)) })
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

// randomReachableHost returns one of the hosts that can be reached, but not this node, or "".
func (n *Node) randomReachableHost(hosts []string) string {
	for _, i := range rand.Perm(len(hosts)) {
		if h := hosts[i]; h != n.ip && n.peer(h).reachable() {
			return h
		}
	}
	return ""
}

// randomReachableNode returns any other node, or "".
func (n *Node) randomReachableNode(ctx context.Context) string {
	var hosts []string
	if n.enqueueAndWait(ctx, func() {
		for _, t := range n.talkTargets(announceFanout, anywhere) {
			hosts = append(hosts, t.host)
		}
	}) {
		return n.randomReachableHost(hosts)
	}
	return ""
}

// readProofFromStore reads the desired state from the store. A read is answered by the store as of one moment; its feed of changes
// may be late, and silent.
func (n *Node) readProofFromStore(ctx context.Context) {
	sent, own := clock.Boot(n.clock), n.version()
	var data []byte
	err := n.callStore(ctx, n.storeWatch.try(), proveStateCall, proofReadTimeout, func(ctx context.Context) (err error) {
		data, _, err = n.store.ReadState(ctx)
		return err
	})
	if err != nil {
		n.controlLog.Debug("no proof from the store", "err", err)
		return
	}
	n.addStoreProof(sent, own, n.takeStored(data))
}

// addStoreProof takes the version that the store had in answer to a call that was sent when another one was in force here; 0: it had none that can be read. One that is
// older than that one proves nothing: the store has lost what it had acknowledged.
func (n *Node) addStoreProof(sent time.Time, own, version int64) {
	switch {
	case !n.cfg.Mesh.StrictRevoke || version == 0 || !n.storeEpoch.proves(sent):
	case version < own:
		n.controlLog.Warn("the store has an older desired state than the one in force", "version", version, "own", own)
	default:
		n.addProof(freshness.Proof{Version: version, Sent: sent})
	}
}

// addProof takes a proof that the store or another node gave.
func (n *Node) addProof(p freshness.Proof) {
	n.proofs.withKeeper(func(k *freshness.Keeper) { k.Take(p, n.version()) })
}

// proofAge returns how old the proof for the state in force is; known is false if there is none.
func (n *Node) proofAge() (age time.Duration, known bool) {
	now, own := clock.Boot(n.clock), n.version()
	n.proofs.withKeeper(func(k *freshness.Keeper) { age, known = k.Age(now, own) })
	return age, known
}

// requestProof asks a node for its proof. What it says is taken as of when the question was sent: how long the answer was on
// its way isn't known.
func (n *Node) requestProof(ctx context.Context, host string) {
	if host == "" {
		return
	}
	sent := clock.Boot(n.clock)
	var a proofResponse
	if err := n.queryNode(ctx, host, proofPath, proofRequestTimeout, nil, &a); err != nil || a.Version <= 0 || a.Age < 0 {
		return
	}
	n.addProof(freshness.Proof{Version: a.Version, Sent: sent.Add(-a.Age)})
	n.noticeVersion(host, a.Version)
}

// serveProof tells a node the youngest proof.
func (n *Node) serveProof(w http.ResponseWriter, _ *http.Request) {
	own := n.version()
	var a proofResponse
	n.proofs.withKeeper(func(k *freshness.Keeper) {
		now := clock.Boot(n.clock)
		if age, known := k.Age(now, own); known {
			a = proofResponse{Version: k.Held(own).Version, Age: age}
		}
	})
	n.writeNodeResponse(w, a)
}
