package mesh

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/follow"
	"github.com/rockspoke/rockspoke/pkg/freshness"
)

// stateWatch is a follow.Watch that all goroutines of a node use.
type stateWatch struct {
	mu sync.Mutex
	follow.Tracker
	mayBegin chan struct{} // closed once peers were asked after a restart
}

// with looks at or changes the watch.
func (w *stateWatch) with(f func(w *follow.Tracker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.Tracker)
}

// The times of following the store.
const (
	// followPoll is the time between looks at whether the node has to go to the store.
	followPoll = 50 * time.Millisecond
	// firstLook after the first start of the whole system is when nodes choose who follows: by then the backend servers
	// have sent their first heartbeats, and most nodes know each other.
	firstLook = 2500 * time.Millisecond
	// aloneRetryFirst and aloneRetryMost bound the wait between calls of a node that isn't one of its zone's followers, and
	// reads only since nobody tells it anything: where the store is down for all, the followers find out when it is back.
	aloneRetryFirst = 600 * time.Millisecond
	aloneRetryMost  = 3 * time.Second
)

// followState keeps the desired state as new as the store tells, where it isn't kept so by others.
func (n *Node) followState(ctx context.Context) {
	if !n.beginFollowing(ctx) {
		return
	}
	var next *Cursor // nil: the whole state has to be read first
	var wait backoff
	for ctx.Err() == nil {
		follows, chosen := n.followsNow()
		if !follows {
			next = nil
			clock.Sleep(ctx, followPoll)
			continue
		}
		var err error
		t := n.storeWatch.try()
		next, err = n.followOnce(ctx, t, next)
		if err == nil {
			wait = 0
			clock.Sleep(ctx, followPoll) // what changes meanwhile is told at once; others may be known by then
			continue
		}
		next = nil
		n.noteFollowing(err)
		t.sleep(ctx, jitter(wait.next(followRetries(chosen))))
	}
}

// beginFollowing waits until the node may know what others can tell it; it reports false if ctx ends first.
func (n *Node) beginFollowing(ctx context.Context) bool {
	patience := time.Duration(0)
	if n.cfg.Mesh.FirstStart {
		// The followers read the state now, and their word takes some exchanges.
		patience = n.cfg.Mesh.Apply
		if !clock.Sleep(ctx, firstLook) {
			return false
		}
	} else {
		select {
		case <-n.watch.mayBegin:
		case <-ctx.Done():
			return false
		}
	}
	n.watch.with(func(w *follow.Tracker) { w.Start(n.clock.Now(), patience) })
	return true
}

// followsNow tells whether the node goes to the store, and whether it is one of its zone's followers.
func (n *Node) followsNow() (follows, chosen bool) {
	n.watch.with(func(w *follow.Tracker) {
		now := n.clock.Now()
		follows, chosen = w.ShouldContactStore(now), w.IsFollower()
		if !follows {
			w.WatchStopped(now)
		}
	})
	return follows, chosen
}

// sureOfState tells whether the desired state in force may be taken for the newest.
func (n *Node) sureOfState() (sure bool) {
	n.watch.with(func(w *follow.Tracker) { sure = w.IsCurrent(n.clock.Now()) })
	return sure
}

// followRetries bounds the wait between calls that fail.
func followRetries(chosen bool) (first, most time.Duration) {
	if chosen {
		return storeRetryFirst, storeRetryMost
	}
	return aloneRetryFirst, aloneRetryMost
}

// noteFollowing writes down that the store isn't heard any more.
func (n *Node) noteFollowing(err error) {
	n.watch.with(func(w *follow.Tracker) { w.WatchLost(n.clock.Now()) })
	n.controlLog.Warn("desired state not followed", "err", err)
}

// followOnce makes one call and returns from where to go on.
func (n *Node) followOnce(ctx context.Context, t storeTry, next *Cursor) (*Cursor, error) {
	var data []byte
	var after Cursor
	kind, span, read := readStateCall, storeCallTime, n.store.ReadState
	if next != nil {
		kind, span = followStateCall, followTime
		read = func(ctx context.Context) ([]byte, Cursor, error) { return n.store.FollowState(ctx, *next) }
	}
	sent, own := clock.BootNow(n.clock), n.version()
	err := n.callStore(ctx, t, kind, span, func(ctx context.Context) (err error) {
		data, after, err = read(ctx)
		return err
	})
	if err != nil {
		return next, err
	}
	version := n.takeStored(data)
	n.watch.with(func(w *follow.Tracker) { w.WatchStarted(n.clock.Now()) })
	if kind == readStateCall {
		n.addStoreProof(sent, own, version)
	}
	return &after, nil
}

// takeStored takes the desired state that the store has, if there is one, and returns its version, 0 if it can't be read. Most often it is the one in force,
// which needn't be read again.
func (n *Node) takeStored(data []byte) int64 {
	if data == nil {
		return 0
	}
	if s := n.state.Load(); s != nil && bytes.Equal(s.Source, data) {
		return s.Version
	}
	return n.takeState("store", data)
}

// takeState puts a newer desired state in force, and returns the version of the one that was told; one that can't be read leaves the last good one.
func (n *Node) takeState(from string, data []byte) int64 {
	s, err := n.decode(data)
	if err != nil {
		n.controlLog.Error("desired state can't be read, the last good one stays", "from", from, "err", err)
		return 0
	}
	if n.raiseState(s) {
		n.dropRemovedTeams(s)
		n.controlLog.Info("desired state", "version", s.Version, "routes", len(s.Routes), "from", from)
		n.enqueue(n.announceState)
	}
	return s.Version
}

// raiseState publishes a state unless a newer one is in force.
func (n *Node) raiseState(s *desired.State) bool {
	for {
		old := n.state.Load()
		if old != nil && old.Version >= s.Version {
			return false
		}
		if !n.state.CompareAndSwap(old, s) {
			continue
		}
		n.proofs.withKeeper(func(k *freshness.ProofTracker) { k.VersionApplied(s.Version) })
		if old == nil {
			now := n.clock.Now()
			n.knowledge.stateSince.Store(&now)
		}
		return true
	}
}

// version returns that of the desired state in force, 0 if there is none.
func (n *Node) version() int64 {
	if s := n.state.Load(); s != nil {
		return s.Version
	}
	return 0
}

// electFollowers works out anew who of this zone follows the store. A node that has just started takes all for alive that it
// knows of, since it hasn't heard their reports yet.
func (n *Node) electFollowers(now time.Time) {
	var alive []string
	for _, host := range n.control.zoneHosts {
		if n.control.reports[host] != nil || now.Sub(n.started) < reportLifeLeast {
			alive = append(alive, host)
		}
	}
	n.watch.with(func(w *follow.Tracker) {
		w.NoteRunning(now)
		if w.UpdateRole(n.ip, alive) {
			n.controlLog.Info("follower of the desired state", "chosen", w.IsFollower(), "alive", len(alive))
		}
	})
}
