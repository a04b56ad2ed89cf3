package mesh

import (
	"context"
	"errors"
	"net"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// followState keeps the desired state as new as the store tells.
func (n *Node) followState(ctx context.Context) {
	next := int64(-1) // -1: read the whole state
	wait := storeRetryFirst
	for ctx.Err() == nil {
		var err error
		t := n.storeWatch.try()
		next, err = n.followOnce(ctx, t, next)
		if err == nil {
			wait = storeRetryFirst
			continue
		}
		var gone *HistoryGoneError
		if errors.As(err, &gone) {
			next = -1
		}
		n.following.Store(false)
		n.metrics.count("store_errors_total")
		n.controlLog.Warn("desired state not followed", "err", err)
		t.sleep(ctx, jitter(wait))
		wait = min(2*wait, storeRetryMost)
	}
}

// followOnce makes one call and returns the version to go on from.
func (n *Node) followOnce(ctx context.Context, t storeTry, next int64) (int64, error) {
	var data []byte
	var after int64
	span, read := storeCallTime, n.store.ReadState
	if next >= 0 {
		span = followTime
		read = func(ctx context.Context) ([]byte, int64, error) { return n.store.FollowState(ctx, next) }
	}
	err := t.call(ctx, span, func(ctx context.Context) (err error) {
		data, after, err = read(ctx)
		return err
	})
	if err != nil {
		return next, err
	}
	n.following.Store(true)
	if data != nil {
		n.takeState("store", data)
	}
	return after, nil
}

// takeState puts a newer desired state in force; one that can't be read leaves the last good one.
func (n *Node) takeState(from string, data []byte) {
	s, err := n.decode(data)
	if err != nil {
		n.controlLog.Error("desired state can't be read, the last good one stays", "from", from, "err", err)
		return
	}
	if !n.raiseState(s) {
		return
	}
	n.controlLog.Info("desired state", "version", s.Version, "routes", len(s.Routes), "from", from)
	n.do(n.announce)
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
		if old == nil {
			now := n.clock.Now()
			n.knowledge.stateSince.Store(&now)
		}
		return true
	}
}

// noticeVersion asks a peer for its desired state if it has a newer one.
func (n *Node) noticeVersion(addr string, version int64) {
	if s := n.state.Load(); version == 0 || (s != nil && s.Version >= version) {
		return
	}
	host := addr
	if h, _, err := net.SplitHostPort(addr); err == nil {
		host = h
	}
	select {
	case n.events <- func() { n.fetchState(host) }:
	default: // the next answer or exchange tells it again
	}
}
