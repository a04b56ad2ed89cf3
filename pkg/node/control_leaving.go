package node

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
)

// Leave stops admitting new work: the daemon informs its peers, hands over its key ranges and finishes the calls in
// progress. It can't be undone in this incarnation.
func (n *Node) Leave(reason string) {
	if n.leaving.Swap(true) {
		return
	}
	n.log.leave.Info("leaving begins", "reason", reason)
	go n.leave()
}

// drainPollPeriod is the time between queries whether the backend server drains, and drainPollTimeout their timeout.
const (
	drainPollPeriod  = time.Second
	drainPollTimeout = 500 * time.Millisecond
)

// pollDrain queries the backend server's drain path. Only the drain header counts, since health endpoints mislead.
func (n *Node) pollDrain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainPollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.cfg.Backend.Address+n.cfg.Backend.DrainPath, nil)
	if err != nil {
		return
	}
	resp, err := n.backend.RoundTrip(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close() // only the header matters
	n.heedBackendHeaders(resp.Header)
}

// leave sends the leaving state to the neighbors and retries until all key ranges are handed over.
func (n *Node) leave() {
	err := n.runOnControl(n.ctx, func(s *controlState) {
		s.mergeNode(n.clock.Now(), s.localInfo())
		n.publishSnapshot(s)
		s.exchangeWithNeighbors()
	})
	if err != nil {
		return
	}
	for !n.handOverOwnedRanges(n.ctx) {
		if !clock.Sleep(n.ctx, platformRetryPause/2) {
			return
		}
	}
	n.log.leave.Info("no key ranges are left here")
}

// handOverOwnedRanges hands all owned ranges to other nodes; it reports whether none is left.
func (n *Node) handOverOwnedRanges(ctx context.Context) bool {
	if n.cfg.Service == "" {
		return true
	}
	v, err := n.rangeView(ctx)
	if err != nil {
		return false
	}
	mine := n.idleRanges(v)
	if len(mine) == 0 {
		return !n.ownsKeyRanges()
	}
	nodes := slices.DeleteFunc(v.nodes, func(o onceonly.Node) bool { return o.VM == n.cfg.VM })
	if len(nodes) == 0 {
		return false
	}
	return n.handOverRanges(ctx, v.row, mine, nodes)
}

// leaveNoticeWait is the time from the start of leaving to the closing of listeners, in which peers learn of it.
const leaveNoticeWait = 300 * time.Millisecond

// Stop leaves, waits until every call in progress has ended and the key ranges are handed over, and then closes the
// daemon. The context and the setting backend.stopWait bound the wait.
func (n *Node) Stop(ctx context.Context) error {
	n.Leave("stop")
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Backend.StopWait)
	defer cancel()
	_ = clock.Sleep(ctx, leaveNoticeWait) // only the context ends it early
	for ctx.Err() == nil && n.ownsKeyRanges() {
		_ = clock.Sleep(ctx, 20*time.Millisecond)
	}
	n.shutdownServer(ctx, n.callers)
	// The backend server may still make outbound calls for those in progress, so that listener closes last.
	for ctx.Err() == nil && n.running.Load() > 0 {
		_ = clock.Sleep(ctx, 10*time.Millisecond)
	}
	n.shutdownServer(ctx, n.outbound)
	if left := n.running.Load(); left > 0 {
		n.log.leave.Warn("stop waits no longer for calls in progress", "calls", left)
	}
	// The peer socket may still be sending the last answers.
	_ = clock.Sleep(ctx, finalAnswerWait)
	n.log.leave.Info("daemon stops")
	return n.Close()
}

// finalAnswerWait is the time for the last answers to leave before connections are closed.
const finalAnswerWait = 150 * time.Millisecond

// shutdownServer closes a listener and waits for its requests in progress; s may be nil.
func (n *Node) shutdownServer(ctx context.Context, s *http.Server) {
	if s == nil {
		return
	}
	if err := s.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.leave.Warn("listener didn't drain", "err", err)
	}
}

// ownsKeyRanges tells whether this node owns any key range by the newest row, or still serves one.
func (n *Node) ownsKeyRanges() (owns bool) {
	n.home.with(func(h *onceonly.Home) { owns = h.OwnsAny() })
	return owns
}

// Leaving tells whether the daemon admits no new work.
func (n *Node) Leaving() bool { return n.leaving.Load() }
