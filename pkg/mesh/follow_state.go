package mesh

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/follow"
	"github.com/rockspoke/rockspoke/pkg/freshness"
)

// sharedFollowTracker guards a follow.Tracker for concurrent use.
type sharedFollowTracker struct {
	mu sync.Mutex
	follow.Tracker
	peersQueried chan struct{} // closed once peers were queried after a restart
}

// with calls f with the tracker locked.
func (w *sharedFollowTracker) with(f func(w *follow.Tracker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.Tracker)
}

// The times of following the store.
const (
	// followPoll is the time between checks whether the node has to call the store.
	followPoll = 50 * time.Millisecond
	// firstElectionDelay is the time from the first start of the whole system to the election of followers: by then the
	// backend servers have sent their first heartbeats, and most nodes know each other.
	firstElectionDelay = 2500 * time.Millisecond
	// maxWatchTime is the longest time for which a call waits for changes, and followMargin is how long after that its answer is still awaited.
	maxWatchTime = 25 * time.Second
	followMargin = 2 * time.Second
	// fallbackRetryFirst and fallbackRetryMax bound the wait between calls of a node that isn't one of its zone's followers,
	// and reads only because no peer confirms the state: where the store is down for all, the followers detect its return.
	fallbackRetryFirst = 600 * time.Millisecond
	fallbackRetryMax   = 3 * time.Second
)

// followState reads the desired state from the store and waits for its changes while this node has to, until ctx ends.
func (n *Node) followState(ctx context.Context) {
	if !n.awaitFollowStart(ctx) {
		return
	}
	var next *Cursor // nil: the whole state has to be read first
	var wait backoff
	for ctx.Err() == nil {
		follows, chosen := n.followRole()
		if !follows {
			next = nil
			clock.Sleep(ctx, followPoll)
			continue
		}
		var err error
		t := n.storeAvailability.newAttempt()
		next, err = n.followOnce(ctx, t, next)
		if err == nil {
			wait = 0
			pause := followPoll // the next call returns changes made meanwhile at once; by then peers may be known
			if next == nil {
				pause = conflictPoll
			}
			clock.Sleep(ctx, pause)
			continue
		}
		next = nil
		t.sleep(ctx, n.jitter(wait.next(followRetryBounds(chosen))))
	}
}

// awaitFollowStart waits until peers had time to send what they know; it reports false if ctx ends first.
func (n *Node) awaitFollowStart(ctx context.Context) bool {
	patience := time.Duration(0)
	if n.cfg.Mesh.FirstStart {
		// The followers read the state now, and it takes some exchanges until it arrives here.
		patience = n.cfg.Mesh.Apply
		if !clock.Sleep(ctx, firstElectionDelay) {
			return false
		}
	} else {
		select {
		case <-n.followTracker.peersQueried:
		case <-ctx.Done():
			return false
		}
	}
	n.followTracker.with(func(w *follow.Tracker) { w.Start(n.clock.Now(), patience) })
	return true
}

// followRole reports whether the node has to follow the store now, and whether it is one of its zone's chosen followers.
func (n *Node) followRole() (follows, chosen bool) {
	n.followTracker.with(func(w *follow.Tracker) {
		now := n.clock.Now()
		follows, chosen = w.ShouldContactStore(now), w.IsFollower()
		if !follows {
			w.WatchStopped(now)
		}
	})
	return follows, chosen
}

// stateIsFresh reports whether the desired state in force is known to have been the newest recently.
func (n *Node) stateIsFresh() (fresh bool) {
	n.followTracker.with(func(w *follow.Tracker) { fresh = w.IsCurrent(n.clock.Now()) })
	return fresh
}

// followRetryBounds returns the bounds of the wait between failed calls, for a chosen follower or another node.
func followRetryBounds(chosen bool) (first, limit time.Duration) {
	if chosen {
		return storeRetryFirst, storeRetryMax
	}
	return fallbackRetryFirst, fallbackRetryMax
}

// watchTime returns how long a call may wait for a change. Where keys are revoked strictly, reads of the whole state show a change that
// such a call misses.
func (n *Node) watchTime() (wait time.Duration) {
	if n.cfg.Mesh.StrictRevoke {
		return maxWatchTime
	}
	n.followTracker.with(func(w *follow.Tracker) { wait = w.WatchTime(n.clock.Now()) })
	return min(wait, maxWatchTime)
}

// noteFollowFailure records and logs that a call to follow the store failed. If the call timed out, its connection may have been silent since it
// began.
func (n *Node) noteFollowFailure(begun time.Time, err error) {
	n.followTracker.with(func(w *follow.Tracker) {
		if errors.Is(err, context.DeadlineExceeded) {
			w.WatchStopped(begun)
			return
		}
		w.WatchLost(n.clock.Now())
	})
	n.controlLog.Warn("failed to follow desired state", "err", err)
}

// followOnce makes one call, to read the state if next is nil and to wait for a change otherwise, and returns the cursor
// for the next call; nil: the state must be read again.
func (n *Node) followOnce(ctx context.Context, t storeAttempt, next *Cursor) (*Cursor, error) {
	var data []byte
	var after Cursor
	kind, timeout, read := readStateCall, storeCallTimeout, n.store.ReadState
	if next != nil {
		wait := n.watchTime()
		kind, timeout = followStateCall, wait+followMargin
		read = func(ctx context.Context) ([]byte, Cursor, error) { return n.store.FollowState(ctx, *next, wait) }
	}
	begun := n.clock.Now()
	sent, current := clock.BootNow(n.clock), n.stateVersion()
	err := n.callStore(ctx, t, kind, timeout, func(ctx context.Context) (err error) {
		data, after, err = read(ctx)
		return err
	})
	if err != nil {
		n.noteFollowFailure(begun, err)
		return next, err
	}
	version := n.applyStored(data)
	n.followTracker.with(func(w *follow.Tracker) { w.WatchStarted(n.clock.Now()) })
	if kind == readStateCall {
		n.addStoreProof(sent, current, version)
		n.checkStored(sent, current, version, data)
	}
	if n.conflict.contradicts(version, n.stateVersion()) {
		return nil, nil
	}
	return &after, nil
}

// applyStored puts the desired state of the store in force if it is newer, and returns its version, or 0 if there is none or
// it can't be decoded. Usually it is the one in force, which isn't decoded again.
func (n *Node) applyStored(data []byte) int64 {
	if data == nil {
		return 0
	}
	if s := n.state.Load(); s != nil && bytes.Equal(s.Source, data) {
		return s.Version
	}
	return n.applyState("store", data)
}

// applyState puts a newer desired state in force, and returns the version of the received one, or 0 if it can't be decoded;
// then the last good one stays in force.
func (n *Node) applyState(from string, data []byte) int64 {
	s, err := n.decode(data)
	if err != nil {
		n.controlLog.Error("desired state can't be read, the last good one stays", "from", from, "err", err)
		return 0
	}
	if n.publishState(s) {
		n.stateChanged(s, from)
	}
	return s.Version
}

// maxShownProblems bounds the entries of one desired state that are logged and dumped as invalid: the operator mends the first ones
// first, and a hundred thousand invalid teams must not fill the log.
const maxShownProblems = 50

// logProblems logs the entries of a new desired state that aren't in force as configured.
func (n *Node) logProblems(s *desired.State) {
	for i, p := range s.Problems {
		if i == maxShownProblems {
			n.controlLog.Warn("more invalid entries in the desired state", "version", s.Version, "count", len(s.Problems)-i)
			return
		}
		n.controlLog.Warn("invalid entry in the desired state", "version", s.Version, "field", p.Field, "value", p.Value, "err", p.Msg, "effect", p.Effect)
	}
}

// publishState puts a state in force and returns true, unless the one in force is as new or newer.
func (n *Node) publishState(s *desired.State) bool {
	for {
		old := n.state.Load()
		if old != nil && old.Version >= s.Version {
			return false
		}
		if !n.state.CompareAndSwap(old, s) {
			continue
		}
		n.proofs.withTracker(func(t *freshness.ProofTracker) { t.VersionApplied(s.Version) })
		if old == nil {
			now := n.clock.Now()
			n.learnedRestore.firstStateAt.Store(&now)
		}
		return true
	}
}

// stateVersion returns the version of the desired state in force, or 0 if there is none.
func (n *Node) stateVersion() int64 {
	if s := n.state.Load(); s != nil {
		return s.Version
	}
	return 0
}

// electFollowers elects again which nodes of this zone follow the store. A node that has just started takes all known nodes
// for alive, since it hasn't received their reports yet.
func (n *Node) electFollowers(now time.Time) {
	var alive []string
	for _, host := range n.control.zoneHosts {
		if n.control.reports[host] != nil || now.Sub(n.started) < minReportTTL {
			alive = append(alive, host)
		}
	}
	n.followTracker.with(func(w *follow.Tracker) {
		w.NoteRunning(now)
		if w.UpdateRole(n.ip, alive) {
			n.controlLog.Info("follower of the desired state", "chosen", w.IsFollower(), "alive", len(alive))
		}
	})
}
