package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/onceonly"
)

// Leave makes the daemon take no new work; it tells its peers, hands its key ranges over and goes on
// with the calls in progress. It can't be taken back in this life.
func (n *Node) Leave(reason string) {
	if n.leaving.Swap(true) {
		return
	}
	n.log.leave.Info("leaving begins", "reason", reason)
	go n.leave()
}

func (n *Node) leave() {
	err := n.onControl(n.ctx, func(s *controlState) {
		s.mergeNode(n.clock.Now(), s.self())
		n.publish(s)
		s.spread()
	})
	if err != nil {
		return
	}
	for !n.giveRangesAway(n.ctx) {
		if !n.sleep(n.ctx, waitTime/2, n.clock.Now().Add(time.Hour)) {
			return
		}
	}
	n.log.leave.Info("no key ranges are left here")
}

// giveRangesAway hands all ranges to other nodes; it reports whether none is left.
func (n *Node) giveRangesAway(ctx context.Context) bool {
	if n.cfg.Service == "" {
		return true
	}
	v, err := n.rangeView(ctx)
	if err != nil {
		return false
	}
	mine := v.row.OwnedBy(n.cfg.VM, n.incarnation)
	if len(mine) == 0 {
		return true
	}
	nodes := slices.DeleteFunc(v.nodes, func(o onceonly.Node) bool { return o.VM == n.cfg.VM })
	if len(nodes) == 0 {
		return false
	}
	return n.handOverAll(ctx, v.row, mine, nodes)
}

// stopGrace is the time between the start of leaving and the closing of listeners, in which peers learn of it.
const stopGrace = 300 * time.Millisecond

// Stop leaves, waits until every call in progress has ended and the key ranges are handed over, and
// then stops. The context or settings bound the wait.
func (n *Node) Stop(ctx context.Context) error {
	n.Leave("stop")
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Backend.StopWait)
	defer cancel()
	_ = n.sleep(ctx, stopGrace, n.clock.Now().Add(time.Hour)) // cut short by the context only
	for ctx.Err() == nil && n.ownsRanges() {
		_ = n.sleep(ctx, 20*time.Millisecond, n.clock.Now().Add(time.Hour))
	}
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil && err != http.ErrServerClosed {
			n.log.leave.Warn("listener didn't drain", "err", err)
		}
	}
	done := make(chan struct{})
	go func() {
		n.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		n.log.leave.Warn("stop waits no longer for calls in progress")
	}
	n.log.leave.Info("daemon stops")
	return n.Close()
}

func (n *Node) ownsRanges() bool {
	owns := false
	n.home.with(func(h *onceonly.Home) {
		row := h.Row()
		owns = len(row.OwnedBy(n.cfg.VM, n.incarnation)) > 0
	})
	return owns
}

// Leaving tells whether the daemon takes no new work.
func (n *Node) Leaving() bool { return n.leaving.Load() }
