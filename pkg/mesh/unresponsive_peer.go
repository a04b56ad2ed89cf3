package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// The constants of peers that fall silent. Requests to a node that was cut off hang until their time is up, and tell
// nothing before: others that are sent after them would hang as well.
const (
	// minUnansweredSends is how many requests in a row have to be without a word from the peer.
	minUnansweredSends = 4
	// minUnresponsiveTime is the least time for which nothing was heard since the first of them, and silentHolds by how many
	// times that which such requests usually take it is longer.
	minUnresponsiveTime    = 250 * time.Millisecond
	unresponsiveHoldFactor = 3
	// minResponseWait and newConnHolds are the same for the next request to go on a new connection.
	minResponseWait        = 50 * time.Millisecond
	responseWaitHoldFactor = 2
	// defaultHoldTime is taken for requests of which that isn't known.
	defaultHoldTime = time.Second
)

// unansweredSends is what was sent to a peer since it was last heard; its zero value is nothing.
type unansweredSends struct {
	count       int
	firstSent   time.Time     // when the first of them was sent
	longestHold time.Duration // that the longest of them usually takes
}

// add notes a request to the peer that usually takes so long.
func (s *unansweredSends) add(now time.Time, usual time.Duration) {
	if s.count == 0 {
		*s = unansweredSends{firstSent: now}
	}
	s.count++
	s.longestHold = max(s.longestHold, usual)
}

// timedOut tells whether the peer would have been heard by now if it could.
func (s *unansweredSends) timedOut(now time.Time) bool {
	return s.count >= minUnansweredSends && now.Sub(s.firstSent) > minUnresponsiveTime+unresponsiveHoldFactor*s.longestHold
}

// expectedHoldTime returns how long a request may be taken to hold a slot of a server with a pace, which is so long at any server, 0 if that
// isn't known.
func expectedHoldTime(pace float64, usual time.Duration) time.Duration {
	if usual == 0 {
		return defaultHoldTime
	}
	return time.Duration(float64(usual) * max(pace, 1))
}

// expectedResponseTime returns in which time the answer to a request can be expected that usually takes so long, as httpconn counts it.
func (n *Node) expectedResponseTime(usual time.Duration) time.Duration {
	if n.off[settings.Silence] {
		return 0
	}
	return minResponseWait + responseWaitHoldFactor*usual
}

// recordSend notes a request to the peer that usually takes so long at any server, 0 if that isn't known; it returns how long it
// may be taken to take there.
func (p *peer) recordSend(now time.Time, usual time.Duration) time.Duration {
	p.inflight.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	usual = expectedHoldTime(p.load.slowdown, usual)
	p.unansweredSends.add(now, usual)
	return usual
}

// becameUnresponsive tells whether the peer has fallen silent, once.
func (p *peer) becameUnresponsive(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.unansweredSends.timedOut(now) {
		return false
	}
	p.unansweredSends = unansweredSends{}
	return true
}

// backOffUnresponsivePeers sets aside the peers that have fallen silent.
func (n *Node) backOffUnresponsivePeers(now time.Time) {
	if n.off[settings.Silence] {
		return
	}
	n.peersMu.Lock()
	defer n.peersMu.Unlock()
	for _, p := range n.peers {
		if !p.local && p.becameUnresponsive(now) && p.backOff(now) {
			n.metrics.count("peers_aside_total")
			n.controlLog.Warn("peer is silent", "peer", p.host, "in_progress", p.inflight.Load())
			p.pool.DropIdle()
		}
	}
}
