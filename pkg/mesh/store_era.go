package mesh

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// storeEra is which life of the store this node knows of. A store that was away may come back from a copy some seconds old, in a new
// era: what it had acknowledged since is gone, its versions go back and are given out again.
//
// What uses what the store said, and what becomes of it in a new era:
//
//   - The feed of the desired state: a Cursor names its era, and the state is read whole again.
//   - The desired state: one that is older than the one in force is never taken.
//   - Proofs: a state older than the one in force when the call was sent proves nothing, and nothing does until the operator has had
//     the time to write again what was lost (eraSettle).
//   - The record of this VM, what was learned and what is held back: written again (storeCameBack).
//   - Records of other VMs, and what was learned and held back elsewhere, when they are read: a record counts by its generation, which
//     its node makes, so an older one from the copy is no news.
type storeEra struct {
	mu      sync.Mutex
	number  int64     // 0: none was told yet
	settled time.Time // until then the store's answers prove nothing, by the boot clock
}

// now returns the newest era that was told.
func (e *storeEra) now() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.number
}

// left tells whether the known era is over, and has the newest one known.
func (e *storeEra) left(known *int64) bool {
	before := *known
	*known = e.now()
	return *known != before
}

// rise takes an era that was told; it returns the one before if that is how the store came back, and 0 otherwise. Both are set at once: an
// answer of the new era that is looked at just then mustn't prove anything yet.
func (e *storeEra) rise(number int64, settled time.Time) (before int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number <= e.number {
		return 0
	}
	before, e.number = e.number, number
	if before != 0 {
		e.settled = settled
	}
	return before
}

// proves tells whether what the store said in answer to a call that was sent then can prove anything.
func (e *storeEra) proves(sent time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !sent.Before(e.settled)
}

const (
	// eraSettle is how long after a new era was seen nothing that the store says proves anything, as a share of the bound of
	// revocation. Proofs from before hold for longer, so keys are served on meanwhile.
	eraSettle = 0.4
	// rewriteSpread is the time for each known node over which all write their records again: the store takes some hundreds of
	// writes a second.
	rewriteSpread = 3 * time.Millisecond
)

// noteEra takes an era that the store or another node told.
func (n *Node) noteEra(from string, era int64) {
	if era <= n.storeEpoch.now() {
		return // with every message
	}
	settled := clock.BootNow(n.clock).Add(time.Duration(eraSettle * float64(n.cfg.Mesh.Revoke)))
	if before := n.storeEpoch.rise(era, settled); before != 0 {
		n.storeCameBack(from, before, era)
	}
}

// storeCameBack has all that this node wrote written again.
func (n *Node) storeCameBack(from string, before, era int64) {
	n.controlLog.Warn("the store came back from a copy", "from", from, "era", era, "before", before)
	n.metrics.count("store_eras_total")
	spread := rewriteSpread * time.Duration(max(n.knownNodes.Load(), 1))
	time.AfterFunc(rand.N(spread), n.records.lost)
}
