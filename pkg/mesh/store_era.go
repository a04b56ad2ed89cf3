package mesh

import (
	"math/rand/v2"
	"sync/atomic"
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
	era    atomic.Int64 // 0: none was told yet
	settle atomic.Int64 // until when the store's answers prove nothing, in nanoseconds of the boot clock's time
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
	for {
		old := n.era.era.Load()
		if era <= old {
			return
		}
		if !n.era.era.CompareAndSwap(old, era) {
			continue
		}
		if old != 0 {
			n.storeCameBack(from, old, era)
		}
		return
	}
}

// storeCameBack has all that this node wrote written again.
func (n *Node) storeCameBack(from string, old, era int64) {
	settled := clock.Boot(n.clock).Add(time.Duration(eraSettle * float64(n.cfg.Mesh.Revoke)))
	n.era.settle.Store(settled.Sub(time.Time{}).Nanoseconds())
	n.controlLog.Warn("the store came back from a copy", "from", from, "era", era, "before", old)
	n.metrics.count("store_eras_total")
	spread := rewriteSpread * time.Duration(max(n.nodes.Load(), 1))
	time.AfterFunc(rand.N(spread), n.records.lost)
}

// provesNow tells whether what the store said in answer to a call that was sent then can prove anything.
func (n *Node) provesNow(sent time.Time) bool {
	return sent.Sub(time.Time{}).Nanoseconds() >= n.era.settle.Load()
}
