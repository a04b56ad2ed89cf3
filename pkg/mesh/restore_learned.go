package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// learnedRestore tracks whether a node that has started has received what was learned earlier.
type learnedRestore struct {
	firstStateAt atomic.Pointer[time.Time] // when the first desired state came in force; nil: not yet
	complete     atomic.Bool               // what was learned has arrived, or requests no longer wait for it

	fromStore, fromPeer bool // whether it was restored from the store or a peer; used only by the control goroutine
}

// learnedWait is how long after the first desired state requests wait for the learned costs, and peers are queried for
// them. The store and peers deliver them within some hundredths of a second after the state; requests admitted before that
// aren't limited by any plan.
const learnedWait = 300 * time.Millisecond

// withinWait reports whether learnedWait hasn't passed yet since the first desired state.
func (k *learnedRestore) withinWait(now time.Time) bool {
	since := k.firstStateAt.Load()
	return since == nil || now.Sub(*since) < learnedWait
}

// awaitLearned returns once what was learned before this process started has arrived, after learnedWait, or when ctx ends.
func (n *Node) awaitLearned(ctx context.Context) {
	for !n.learnedRestore.complete.Load() {
		if !n.learnedRestore.withinWait(n.clock.Now()) {
			n.learnedRestore.complete.Store(true)
			return
		}
		if !clock.Sleep(ctx, startupPollInterval) {
			return
		}
	}
}

// wantsLearned reports whether this node still queries peers for what was learned.
func (n *Node) wantsLearned(now time.Time) bool {
	return !n.learnedRestore.fromPeer && n.learnedRestore.withinWait(now)
}

// restoreFromStore restores what was learned from the store's content; only the first non-empty one counts.
func (n *Node) restoreFromStore(all []loads.Learned) {
	if !n.learnedRestore.fromStore {
		n.learnedRestore.fromStore = len(all) > 0
		n.restoreLearned("store", all)
	}
}

// restoreFromPeer restores what was learned from a peer, once: if nodes restored each other's values repeatedly, these would
// override what the nodes measure.
func (n *Node) restoreFromPeer(from string, all []loads.Learned) {
	if len(all) > 0 && n.wantsLearned(n.clock.Now()) {
		n.learnedRestore.fromPeer = true
		n.restoreLearned(from, all)
	}
}

// restoreLearned restores what was learned before this process started, on the control goroutine, and computes a new plan
// at once, so that it applies to the first request.
func (n *Node) restoreLearned(from string, all []loads.Learned) {
	if n.off[settings.LearnedMemory] || len(all) == 0 {
		return
	}
	defer n.learnedRestore.complete.Store(true)
	now := n.clock.Now()
	routes := 0
	for _, l := range all {
		if l.Service == n.cfg.Service {
			n.stats.restoreCalls(l.CallsPerRun)
		}
		restored := n.control.retainedRuns.Restore(now, l.Service, l.Runs())
		n.control.internalRoutes.restore(now, l)
		if restored > 0 {
			n.control.retainedDemand.Restore(l.Demand)
		}
		routes += restored
	}
	if routes > 0 {
		n.controlLog.Info("learned calls restored", "routes", routes, "from", from)
		n.replan(now)
	}
}
