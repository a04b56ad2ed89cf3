package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// knowledge tells whether a node that has started has what was learned before.
type knowledge struct {
	stateSince atomic.Pointer[time.Time] // when the first desired state came; nil: it hasn't
	complete   atomic.Bool               // what was learned is at hand, or isn't waited for any longer

	stored, told bool // taken from the store, or from a peer; the control goroutine's
}

// learnedWait is how long after the first desired state requests wait for what was learned of their costs, and peers are
// asked for it. Store and peers give it within some hundredths of a second of the state; what is taken in before it comes
// can't be planned.
const learnedWait = 300 * time.Millisecond

// waits tells whether it is worth waiting for what was learned.
func (k *knowledge) waits(now time.Time) bool {
	since := k.stateSince.Load()
	return since == nil || now.Sub(*since) < learnedWait
}

// awaitLearned waits until what was learned before this process started is at hand.
func (n *Node) awaitLearned(ctx context.Context) {
	for !n.knowledge.complete.Load() {
		if !n.knowledge.waits(n.clock.Now()) {
			n.knowledge.complete.Store(true)
			return
		}
		if !clock.Sleep(ctx, startPoll) {
			return
		}
	}
}

// unlearned tells whether peers are to be asked for what was learned.
func (n *Node) unlearned(now time.Time) bool {
	return !n.knowledge.told && n.knowledge.waits(now)
}

// recallStored takes what the store kept, once.
func (n *Node) recallStored(all []loads.Learned) {
	if !n.knowledge.stored {
		n.knowledge.stored = len(all) > 0
		n.recallLearned("store", all)
	}
}

// recallTold takes what a peer knows, once: what nodes told each other again and again they would soon believe whatever
// they see.
func (n *Node) recallTold(from string, all []loads.Learned) {
	if len(all) > 0 && n.unlearned(n.clock.Now()) {
		n.knowledge.told = true
		n.recallLearned(from, all)
	}
}

// recallLearned takes what was learned before this process started, in the control goroutine: the plan is worked out
// anew at once, so that it holds for the first request.
func (n *Node) recallLearned(from string, all []loads.Learned) {
	if n.off[settings.LearnedMemory] || len(all) == 0 {
		return
	}
	defer n.knowledge.complete.Store(true)
	now := n.clock.Now()
	routes := 0
	for _, l := range all {
		if l.Service == n.cfg.Service {
			n.stats.recall(l.Calls)
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
