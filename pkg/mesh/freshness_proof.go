package mesh

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/freshness"
)

// freshnessProofs guards a freshness.ProofTracker for concurrent use and schedules the calls that renew its proof.
type freshnessProofs struct {
	mu sync.Mutex
	freshness.ProofTracker

	schedule            freshness.Schedule // used by keepProofFresh only
	reading, requesting atomic.Bool        // a call is in flight
}

// withTracker calls f with the tracker locked.
func (p *freshnessProofs) withTracker(f func(t *freshness.ProofTracker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.ProofTracker)
}

// proofPath is where nodes request freshness proofs from each other.
const proofPath = "/proof"

const (
	// proofPollInterval is the time between checks whether a proof has to be renewed.
	proofPollInterval = 50 * time.Millisecond
	// proofReadTimeout bounds a read from the store; after it the read is retried.
	proofReadTimeout = 600 * time.Millisecond
	// proofRequestTimeout bounds a request to another node.
	proofRequestTimeout = 250 * time.Millisecond
)

// proofResponse is the newest freshness proof that a node holds; its zero value means none.
type proofResponse struct {
	Version int64         `codec:"v"`
	Age     time.Duration `codec:"a"` // when the response was written
}

// keepProofFresh renews this node's freshness proof until ctx ends, if keys are strictly revoked.
func (n *Node) keepProofFresh(ctx context.Context) {
	if !n.cfg.Mesh.StrictRevoke || n.cfg.Mesh.FirstStart && !clock.Sleep(ctx, firstElectionDelay) {
		return
	}
	for clock.Sleep(ctx, proofPollInterval) {
		if n.state.Load() == nil || len(n.roles.Load().proofs.Readers) == 0 {
			continue
		}
		n.refreshProofIfDue(ctx)
	}
}

// refreshProofIfDue starts the call that the schedule asks for now, if any.
func (n *Node) refreshProofIfDue(ctx context.Context) {
	roles := n.roles.Load().proofs
	age, known := n.proofAge()
	switch n.proofs.schedule.Next(clock.BootNow(n.clock), age, known, roles.IsReader(n.ip)) {
	case freshness.ReadStore:
		startUnlessBusy(&n.proofs.reading, func() { n.readProofFromStore(ctx) })
	case freshness.QueryUpstream:
		startUnlessBusy(&n.proofs.requesting, func() { n.requestProof(ctx, n.randomReachableHost(roles.QueryTargets(n.ip))) })
	case freshness.QueryOtherZone:
		startUnlessBusy(&n.proofs.requesting, func() { n.requestProof(ctx, n.randomReachableNodeOutsideZone(ctx)) })
	case freshness.QueryAnyNode:
		startUnlessBusy(&n.proofs.requesting, func() { n.requestProof(ctx, n.randomReachableNode(ctx, anyZone)) })
	case freshness.Wait:
	}
}

// startUnlessBusy runs call in the background unless the previous one is still in flight.
func startUnlessBusy(busy *atomic.Bool, call func()) {
	if !busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer busy.Store(false)
		call()
	}()
}

// randomReachableHost returns a random reachable host other than this node, or "".
func (n *Node) randomReachableHost(hosts []string) string {
	for _, i := range n.rnd().Perm(len(hosts)) {
		if h := hosts[i]; h != n.ip && n.peer(h).reachable() {
			return h
		}
	}
	return ""
}

// randomReachableNodeOutsideZone returns a random reachable node of another zone; if there is none, of this zone; or "".
func (n *Node) randomReachableNodeOutsideZone(ctx context.Context) string {
	if host := n.randomReachableNode(ctx, otherZonesOnly); host != "" {
		return host
	}
	return n.randomReachableNode(ctx, anyZone)
}

// randomReachableNode returns a random reachable node in the scope other than this one, or "".
func (n *Node) randomReachableNode(ctx context.Context, scope zoneScope) string {
	var hosts []string
	if n.enqueueAndWait(ctx, func() {
		for _, t := range n.exchangeTargets(announceFanout, scope) {
			hosts = append(hosts, t.host)
		}
	}) {
		return n.randomReachableHost(hosts)
	}
	return ""
}

// readProofFromStore reads the desired state from the store as a freshness proof. A read reflects the store at one moment; the store's feed of
// changes may lag or stall without an error.
func (n *Node) readProofFromStore(ctx context.Context) {
	sent, current := clock.BootNow(n.clock), n.stateVersion()
	var data []byte
	err := n.callStore(ctx, n.storeAvailability.newAttempt(), proveStateCall, proofReadTimeout, func(ctx context.Context) (err error) {
		data, _, err = n.store.ReadState(ctx)
		return err
	})
	if err != nil {
		n.controlLog.Debug("freshness proof not read from the store", "err", err)
		return
	}
	version := n.applyStored(data)
	n.addStoreProof(sent, current, version)
	n.checkStored(sent, current, version, data)
}

// addStoreProof records the version that the store returned for a call sent at the given time, when the version current was in force here;
// version 0 means that the store had no readable state. A version older than current proves nothing: the store has lost acknowledged writes.
func (n *Node) addStoreProof(sent time.Time, current, version int64) {
	switch {
	case !n.cfg.Mesh.StrictRevoke || version == 0 || !n.storeEpoch.proves(sent):
	case version < current:
		n.controlLog.Warn("the store has an older desired state than the one in force", "version", version, "own", current)
	default:
		n.addProof(freshness.Proof{Version: version, Sent: sent})
	}
}

// addProof records a freshness proof from the store or another node.
func (n *Node) addProof(p freshness.Proof) {
	n.proofs.withTracker(func(t *freshness.ProofTracker) { t.AddProof(p, n.stateVersion()) })
}

// proofAge returns the age of the freshness proof for the state in force; known is false if there is none.
func (n *Node) proofAge() (age time.Duration, known bool) {
	now, current := clock.BootNow(n.clock), n.stateVersion()
	n.proofs.withTracker(func(t *freshness.ProofTracker) { age, known = t.ProofAge(now, current) })
	return age, known
}

// requestProof requests the freshness proof of another node. The proof is dated from when the request was sent, since the
// transit time of the response isn't known.
func (n *Node) requestProof(ctx context.Context, host string) {
	if host == "" {
		return
	}
	sent := clock.BootNow(n.clock)
	var res proofResponse
	if err := n.queryNode(ctx, host, proofPath, proofRequestTimeout, nil, &res); err != nil || res.Version <= 0 || res.Age < 0 {
		return
	}
	n.addProof(freshness.Proof{Version: res.Version, Sent: sent.Add(-res.Age)})
	n.noteVersion(host, res.Version)
}

// serveProof answers another node with the newest freshness proof.
func (n *Node) serveProof(w http.ResponseWriter, _ *http.Request) {
	current := n.stateVersion()
	var res proofResponse
	n.proofs.withTracker(func(t *freshness.ProofTracker) {
		now := clock.BootNow(n.clock)
		if age, known := t.ProofAge(now, current); known {
			res = proofResponse{Version: t.YoungestProof(current).Version, Age: age}
		}
	})
	n.writeNodeResponse(w, res)
}
