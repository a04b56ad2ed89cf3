package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// Limits for the detection of unresponsive peers. Requests to a node that was cut off hang until their time limit, without any sign before; later
// requests would hang as well.
const (
	// minUnansweredSends is how many requests in a row must be without any answer from the peer.
	minUnansweredSends = 4
	// minUnresponsiveTime is the minimum time without an answer since the first of them; unresponsiveHoldFactor times the expected slot
	// hold time of such requests is added to it.
	minUnresponsiveTime    = 250 * time.Millisecond
	unresponsiveHoldFactor = 3
	// minResponseWait and responseWaitHoldFactor are the same for sending the next request on a new connection.
	minResponseWait        = 50 * time.Millisecond
	responseWaitHoldFactor = 2
	// defaultHoldTime is the expected slot hold time of requests for which none is known.
	defaultHoldTime = time.Second
)

// unansweredSends counts the requests sent to a peer since its last answer; its zero value counts none.
type unansweredSends struct {
	count       int
	firstSent   time.Time     // when the first of them was sent
	longestHold time.Duration // largest expected slot hold time of them
}

// add counts a request with the given expected slot hold time.
func (s *unansweredSends) add(now time.Time, holdTime time.Duration) {
	if s.count == 0 {
		*s = unansweredSends{firstSent: now}
	}
	s.count++
	s.longestHold = max(s.longestHold, holdTime)
}

// timedOut reports whether a reachable peer would have answered by now.
func (s *unansweredSends) timedOut(now time.Time) bool {
	return s.count >= minUnansweredSends && now.Sub(s.firstSent) > minUnresponsiveTime+unresponsiveHoldFactor*s.longestHold
}

// expectedHoldTime returns the expected slot hold time at a server with the given slowdown factor; usual is its typical value across all servers,
// 0 if unknown.
func expectedHoldTime(slowdown float64, usual time.Duration) time.Duration {
	if usual == 0 {
		return defaultHoldTime
	}
	return time.Duration(float64(usual) * max(slowdown, 1))
}

// expectedResponseTime returns the time within which a request with the given expected slot hold time should be answered (httpconn.Request.ExpectedResponseTime);
// 0 if the detection is switched off.
func (n *Node) expectedResponseTime(holdTime time.Duration) time.Duration {
	if n.off[settings.UnresponsivePeers] {
		return 0
	}
	return minResponseWait + responseWaitHoldFactor*holdTime
}

// recordSend counts a request sent to the peer; usual is its typical slot hold time across all servers, 0 if unknown. It returns the slot hold time
// expected at this peer.
func (p *peer) recordSend(now time.Time, usual time.Duration) time.Duration {
	p.inflight.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	usual = expectedHoldTime(p.load.slowdown, usual)
	p.unansweredSends.add(now, usual)
	p.waiting.Store(true)
	return usual
}

// becameUnresponsive reports once that the peer has become unresponsive; it resets the count.
func (p *peer) becameUnresponsive(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.unansweredSends.timedOut(now) {
		return false
	}
	p.unansweredSends = unansweredSends{}
	return true
}

// isWaiting reports whether requests to the peer are in flight or without an answer. It clears the mark first, so that a request
// sent meanwhile is found by this call or the next one.
func (p *peer) isWaiting() bool {
	if !p.waiting.Load() {
		return false
	}
	p.waiting.Store(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	waits := p.inflight.Load() > 0 || p.unansweredSends.count > 0
	if waits {
		p.waiting.Store(true)
	}
	return waits
}

// waitingPeers returns the peers whose requests wait for an answer. Most peers of a large mesh have none, and all of them are
// gone through at each tick.
func (n *Node) waitingPeers() []*peer {
	n.peersMu.Lock()
	defer n.peersMu.Unlock()
	var waiting []*peer
	for _, p := range n.peers {
		if p.isWaiting() {
			waiting = append(waiting, p)
		}
	}
	return waiting
}

// backOffUnresponsivePeers backs off those of the peers that have become unresponsive and closes their idle connections.
func (n *Node) backOffUnresponsivePeers(now time.Time, peers []*peer) {
	if n.off[settings.UnresponsivePeers] {
		return
	}
	for _, p := range peers {
		if !p.local && p.becameUnresponsive(now) && p.backOff(now) {
			n.metrics.count("peers_aside_total")
			n.controlLog.Warn("peer is unresponsive", "peer", p.host, "in_progress", p.inflight.Load())
			p.pool.CloseIdle()
		}
	}
}
