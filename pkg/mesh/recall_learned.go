package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// startKnowledge tells whether a node that has started has what was learned before.
type startKnowledge struct {
	firstStateAt atomic.Pointer[time.Time] // when the first desired state came; nil: it hasn't
	complete     atomic.Bool               // what was learned is at hand, or isn't waited for any longer

	fromStore, fromPeer bool // taken from the store, or from a peer; the control goroutine's
}

// learnedWait is how long after the first desired state requests wait for what was learned of their costs, and peers are
// asked for it. Store and peers give it within some hundredths of a second of the state; what is taken in before it comes
// can't be planned.
const learnedWait = 300 * time.Millisecond

// mayArrive tells whether it is worth waiting for what was learned.
func (k *startKnowledge) mayArrive(now time.Time) bool {
	since := k.firstStateAt.Load()
	return since == nil || now.Sub(*since) < learnedWait
}

// awaitLearned waits until what was learned before this process started is at hand.
func (n *Node) awaitLearned(ctx context.Context) {
	for !n.knowledge.complete.Load() {
		if !n.knowledge.mayArrive(n.clock.Now()) {
			n.knowledge.complete.Store(true)
			return
		}
		if !clock.Sleep(ctx, startPoll) {
			return
		}
	}
}

// wantsLearned tells whether peers are to be asked for what was learned.
func (n *Node) wantsLearned(now time.Time) bool {
	return !n.knowledge.fromPeer && n.knowledge.mayArrive(now)
}

// restoreFromStore takes what the store kept, once.
func (n *Node) restoreFromStore(all []loads.Learned) {
	if !n.knowledge.fromStore {
		n.knowledge.fromStore = len(all) > 0
		n.restoreLearned("store", all)
	}
}

// restoreFromPeer takes what a peer knows, once: what nodes told each other again and again they would soon believe whatever
// they see.
func (n *Node) restoreFromPeer(from string, all []loads.Learned) {
	if len(all) > 0 && n.wantsLearned(n.clock.Now()) {
		n.knowledge.fromPeer = true
		n.restoreLearned(from, all)
	}
}

// restoreLearned takes what was learned before this process started, in the control goroutine: the plan is worked out
// anew at once, so that it holds for the first request.
func (n *Node) restoreLearned(from string, all []loads.Learned) {
	if n.off[settings.LearnedMemory] || len(all) == 0 {
		return
	}
	defer n.knowledge.complete.Store(true)
	now := n.clock.Now()
	routes := 0
	for _, l := range all {
		if l.Service == n.cfg.Service {
			n.stats.restoreCalls(l.Calls)
		}
		taken := n.control.kept.Recall(now, l.Service, l.Runs())
		n.control.judged.recall(now, l)
		if taken > 0 {
			n.control.demand.Recall(l.Asked)
		}
		routes += taken
	}
	if routes > 0 {
		n.controlLog.Info("learned calls recalled", "routes", routes, "from", from)
		n.replan(now)
	}
}
