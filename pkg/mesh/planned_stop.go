package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// stopState is where a planned stop stands, and what is in progress.
type stopState struct {
	since           atomic.Int64 // when leaving began, in Unix nanoseconds; 0: it hasn't
	refusingClients atomic.Bool
	// refusingPeers is set after servingPeers by the steady clock; the time of day may jump meanwhile.
	refusingPeers atomic.Bool
	inFlight      atomic.Int64
	begun         atomic.Int64 // requests since the start
}

func (s *stopState) stopping() bool { return s.since.Load() != 0 }

// refusesClients tells whether new requests of clients are turned away.
func (s *stopState) refusesClients() bool { return s.refusingClients.Load() }

// refusesPeers tells whether requests of other nodes are turned away: they know other servers, and what they
// send late would still be in progress at the end.
func (s *stopState) refusesPeers() bool { return s.refusingPeers.Load() }

// beginRequest counts a request in progress; the returned function ends it.
func (s *stopState) beginRequest() func() {
	s.inFlight.Add(1)
	s.begun.Add(1)
	return func() { s.inFlight.Add(-1) }
}

// The times of a planned stop.
const (
	// clientServingTime is how long new requests are served after the stop began: clients that use their open
	// connections learn only by the answers that they should go, and the platform needs two checks of
	// readiness, a second apart, to send no new ones.
	clientServingTime = 3300 * time.Millisecond
	// peerServingTime is how long requests of other nodes are served after the stop began: they hear of it by
	// the next answer, and send on what is refused.
	peerServingTime = 1500 * time.Millisecond
	// killMargin is kept free before the platform kills the process.
	killMargin = 400 * time.Millisecond
	// idleBeforeEnd is for how long nothing has to be in progress, and nothing to have come: clients that just got an
	// answer come back, and are to be told that they should go elsewhere rather than find a closed port.
	idleBeforeEnd = 150 * time.Millisecond
	// stopPoll is the time between looks at whether all requests have ended.
	stopPoll = 20 * time.Millisecond
)

// Stop leaves in order: not ready at once, serving on for a while, ending when nothing is in progress.
func (n *Node) Stop(ctx context.Context) error {
	begun := n.clock.Now()
	n.stop.since.Store(begun.UnixNano())
	n.controlLog.Info("stopping", "in_progress", n.stop.inFlight.Load())
	n.enqueue(n.announce)
	end := begun.Add(n.cfg.Mesh.Grace - killMargin)
	var q idleTracker
	for ctx.Err() == nil {
		now := n.clock.Now()
		q.update(now, &n.stop)
		n.stop.refusingPeers.Store(now.Sub(begun) >= peerServingTime)
		if now.Sub(begun) >= clientServingTime {
			n.stop.refusingClients.Store(true)
			if now.Sub(q.since) >= idleBeforeEnd || !now.Before(end) {
				break
			}
		}
		clock.Sleep(ctx, stopPoll)
	}
	n.controlLog.Info("stopped", "in_progress", n.stop.inFlight.Load())
	n.halt()
	return nil
}

// idleTracker tells since when nothing has been in progress or come.
type idleTracker struct {
	since time.Time
	begun int64
}

// update takes the counts of now.
func (q *idleTracker) update(now time.Time, s *stopState) {
	begun := s.begun.Load()
	if s.inFlight.Load() > 0 || begun != q.begun || q.since.IsZero() {
		q.since, q.begun = now, begun
	}
}

// halt ends all work of the node at once.
func (n *Node) halt() {
	n.cancel()
	for _, s := range n.servers {
		if err := s.Close(); err != nil && !isListenerClosed(err) {
			n.controlLog.Warn("listener can't be closed", "address", s.Addr, "err", err)
		}
	}
	n.running.Wait()
}
