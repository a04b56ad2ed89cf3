package mesh

import (
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// storeEpoch is the newest epoch of the store known to this node. After an outage the store may be restored from a backup
// some seconds old, in a new epoch: writes acknowledged since the backup are lost, and their versions are assigned again.
//
// What depends on the store's answers, and its treatment in a new epoch:
//
//   - The feed of the desired state: a Cursor contains its epoch, and the whole state is read again.
//   - The desired state: one that is older than the one in force is applied only if the store still has no newer one after conflictTime.
//   - Freshness proofs: a state older than the one in force when the call was sent proves nothing, and no answer does until the
//     operator has had the time to write lost changes again (epochSettleFraction).
//   - The record of this VM, what was learned and what is quarantined: written again (storeRestored).
//   - Records of other VMs, and what was learned and quarantined elsewhere, when they are read: a record is ordered by its
//     generation, which its node assigns, so an older one from the backup has no effect.
type storeEpoch struct {
	mu        sync.Mutex
	epoch     int64     // 0: none is known yet
	settledAt time.Time // answers to calls sent before this time of the boot clock prove nothing
}

// current returns the newest known epoch, or 0 if none is known.
func (e *storeEpoch) current() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch
}

// changed reports whether the newest epoch differs from *known, and sets *known to it.
func (e *storeEpoch) changed(known *int64) bool {
	before := *known
	*known = e.current()
	return *known != before
}

// advance sets a newer epoch; it returns the previous one if the store was restored, and 0 otherwise. The epoch and settledAt
// are set together, since an answer of the new epoch that is evaluated at that moment must not prove anything yet.
func (e *storeEpoch) advance(epoch int64, settledAt time.Time) (before int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch <= e.epoch {
		return 0
	}
	before, e.epoch = e.epoch, epoch
	if before != 0 {
		e.settledAt = settledAt
	}
	return before
}

// proves reports whether the answer to a call sent at the given time of the boot clock can prove freshness.
func (e *storeEpoch) proves(sent time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !sent.Before(e.settledAt)
}

const (
	// epochSettleFraction is how long the store's answers prove nothing after a new epoch, as a fraction of the bound of
	// revocation. Earlier freshness proofs are valid for longer, so keys are accepted meanwhile.
	epochSettleFraction = 0.4
	// rewriteSpread is the time per known node over which the nodes spread the rewriting of their records: the store accepts
	// some hundreds of writes per second.
	rewriteSpread = 3 * time.Millisecond
)

// noteStoreEpoch processes an epoch received from the store or another node.
func (n *Node) noteStoreEpoch(from string, epoch int64) {
	if epoch <= n.storeEpoch.current() {
		return // the usual case: each message contains the epoch
	}
	settledAt := clock.BootNow(n.clock).Add(time.Duration(epochSettleFraction * float64(n.cfg.Mesh.Revoke)))
	if before := n.storeEpoch.advance(epoch, settledAt); before != 0 {
		n.storeRestored(from, before, epoch)
	}
}

// storeRestored logs a new store epoch, and has this node's record written again after a random time.
func (n *Node) storeRestored(from string, before, epoch int64) {
	n.controlLog.Warn("store restored from a backup", "from", from, "era", epoch, "before", before)
	n.metrics.count("store_eras_total")
	spread := rewriteSpread * time.Duration(max(n.knownNodes.Load(), 1))
	time.AfterFunc(n.randomDuration(spread), n.records.markLost)
}
