package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// stopState is the progress of a planned stop and the number of requests in flight.
type stopState struct {
	since           atomic.Int64              // when the stop began, in Unix nanoseconds; 0: it hasn't
	end             atomic.Pointer[time.Time] // when the node halts at the latest; nil: the stop hasn't begun
	refusingClients atomic.Bool
	// refusingPeers is set after peerServingTime by the steady clock, since the wall clock may jump meanwhile.
	refusingPeers atomic.Bool
	givingUp      atomic.Bool // what is still in flight is answered now, as lost or not run
	inFlight      atomic.Int64
	arrivals      atomic.Int64 // requests that arrived since the node's start
}

// stopping reports whether a planned stop has begun.
func (s *stopState) stopping() bool { return s.since.Load() != 0 }

// refusesClients reports whether new requests of clients are rejected.
func (s *stopState) refusesClients() bool { return s.refusingClients.Load() }

// refusesPeers reports whether requests of other nodes are rejected. The peers know other servers, and requests that they
// send late would still be in flight at the end.
func (s *stopState) refusesPeers() bool { return s.refusingPeers.Load() }

// beginRequest counts a request in flight until the returned function is called.
func (s *stopState) beginRequest() func() {
	s.inFlight.Add(1)
	s.arrivals.Add(1)
	return func() { s.inFlight.Add(-1) }
}

// Times of a planned stop.
const (
	// clientServingTime is how long new client requests are served after the stop began. Clients on open connections learn
	// only from the answers to go elsewhere, and the platform needs two readiness checks, a second apart, to send no new
	// clients.
	clientServingTime = 3300 * time.Millisecond
	// unknownServingTime is the same for routes of which too few requests were seen to know how long they may take.
	unknownServingTime = 3 * time.Second
	// peerServingTime is how long requests of other nodes are served after the stop began. They learn of it from the next answer
	// and send refused requests elsewhere.
	peerServingTime = 1500 * time.Millisecond
	// killMargin is the time left before the platform kills the process when the stop gives up what is in flight.
	killMargin = 400 * time.Millisecond
	// giveUpTime is how long the answers to requests that are given up may take to be written.
	giveUpTime = 100 * time.Millisecond
	// idleBeforeEnd is how long no request must be in flight or arrive before the stop ends. A client that just got an answer may return, and
	// should be sent elsewhere rather than find a closed port.
	idleBeforeEnd = 150 * time.Millisecond
	// stopPoll is the time between checks whether all requests have ended.
	stopPoll = 20 * time.Millisecond
)

// Stop stops the node gracefully. It is not ready at once, keeps serving for a while, and halts when no request is in flight or the grace
// period is nearly over; what is still in flight then is answered before.
func (n *Node) Stop(ctx context.Context) error {
	begun := n.clock.Now()
	n.stop.since.Store(begun.UnixNano())
	n.controlLog.Info("stopping", "in_progress", n.stop.inFlight.Load())
	n.enqueue(n.announce)
	end := begun.Add(n.cfg.Mesh.Grace - killMargin)
	n.stop.end.Store(&end)
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
	n.giveUpRequests(ctx)
	n.halt()
	return nil
}

// giveUpRequests ends all requests in flight and waits until they are answered, for giveUpTime at most.
func (n *Node) giveUpRequests(ctx context.Context) {
	if n.stop.inFlight.Load() == 0 {
		return
	}
	n.stop.givingUp.Store(true)
	n.timeLimits.Close()
	for end := n.clock.Now().Add(giveUpTime); n.stop.inFlight.Load() > 0 && n.clock.Now().Before(end); {
		clock.Sleep(ctx, stopPoll)
	}
	clock.Sleep(ctx, stopPoll) // net/http writes the last answer after its request has ended
}

// endReason returns why requests whose context has ended are given up.
func (n *Node) endReason() wire.Reason {
	if n.stop.givingUp.Load() {
		return wire.ReasonLeaving
	}
	return wire.ReasonDeadline
}

// mayOutlastStop reports whether a request with the deadline may be in flight still when the stopping node halts: a recent one of its route took
// as long as what is left, or, late in the stop, too few are known to tell.
func (n *Node) mayOutlastStop(q *request, deadline time.Time) bool {
	end := n.stop.end.Load()
	if end == nil || !deadline.After(*end) {
		return false
	}
	n.stats.mu.Lock()
	longest, unknown := n.stats.times.LongestCall(q.Route), n.stats.times.Call(q.Route) == 0
	if q.fromPeer {
		longest, unknown = n.stats.times.LongestRun(q.Route), false // peers are refused long before the end
	}
	n.stats.mu.Unlock()
	left := end.Sub(n.clock.Now())
	if unknown && left <= n.cfg.Mesh.Grace-killMargin-unknownServingTime {
		return true
	}
	return longest > 0 && longest+answerMargin > left
}

// idleTracker records since when no request has been in flight or has arrived.
type idleTracker struct {
	since    time.Time
	arrivals int64
}

// update takes the current counts.
func (q *idleTracker) update(now time.Time, s *stopState) {
	arrivals := s.arrivals.Load()
	if s.inFlight.Load() > 0 || arrivals != q.arrivals || q.since.IsZero() {
		q.since, q.arrivals = now, arrivals
	}
}

// halt stops all work of the node at once and waits for its end.
func (n *Node) halt() {
	n.cancel()
	for _, s := range n.servers {
		if err := s.Close(); err != nil && !isListenerClosed(err) {
			n.controlLog.Warn("listener can't be closed", "address", s.Addr, "err", err)
		}
	}
	n.running.Wait()
}
