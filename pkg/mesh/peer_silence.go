package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// The constants of peers that fall silent. Requests to a node that was cut off hang until their time is up, and tell
// nothing before: others that are sent after them would hang as well.
const (
	// silentSends is how many requests in a row have to be without a word from the peer.
	silentSends = 4
	// silentLeast is the least time for which nothing was heard since the first of them, and silentHolds by how many
	// times that which such requests usually take it is longer.
	silentLeast = 250 * time.Millisecond
	silentHolds = 3
	// newConnLeast and newConnHolds are the same for the next request to go on a new connection.
	newConnLeast = 50 * time.Millisecond
	newConnHolds = 2
	// unknownHold is taken for requests of which that isn't known.
	unknownHold = time.Second
)

// silence is what was sent to a peer since it was last heard; its zero value is nothing.
type silence struct {
	sends int
	first time.Time     // when the first of them was sent
	hold  time.Duration // that the longest of them usually takes
}

// sent notes a request to the peer that usually takes so long.
func (s *silence) sent(now time.Time, usual time.Duration) {
	if s.sends == 0 {
		*s = silence{first: now}
	}
	s.sends++
	s.hold = max(s.hold, usual)
}

// over tells whether the peer would have been heard by now if it could.
func (s *silence) over(now time.Time) bool {
	return s.sends >= silentSends && now.Sub(s.first) > silentLeast+silentHolds*s.hold
}

// usualAt returns how long a request may be taken to hold a slot of a server with a pace, which is so long at any server, 0 if that
// isn't known.
func usualAt(pace float64, usual time.Duration) time.Duration {
	if usual == 0 {
		return unknownHold
	}
	return time.Duration(float64(usual) * max(pace, 1))
}

// connPatience returns in which time the answer to a request can be expected that usually takes so long, as httpconn counts it.
func (n *Node) connPatience(usual time.Duration) time.Duration {
	if n.off[settings.Silence] {
		return 0
	}
	return newConnLeast + newConnHolds*usual
}

// sending notes a request to the peer that usually takes so long at any server, 0 if that isn't known; it returns how long it
// may be taken to take there.
func (p *peer) sending(now time.Time, usual time.Duration) time.Duration {
	p.inflight.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	usual = usualAt(p.load.pace, usual)
	p.silence.sent(now, usual)
	return usual
}

// isSilent tells whether the peer has fallen silent, once.
func (p *peer) isSilent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.silence.over(now) {
		return false
	}
	p.silence = silence{}
	return true
}

// leaveSilentPeers sets aside the peers that have fallen silent.
func (n *Node) leaveSilentPeers(now time.Time) {
	if n.off[settings.Silence] {
		return
	}
	n.peersMu.Lock()
	defer n.peersMu.Unlock()
	for _, p := range n.peers {
		if !p.local && p.isSilent(now) && p.failed(now) {
			n.metrics.count("peers_aside_total")
			n.controlLog.Warn("peer is silent", "peer", p.host, "in_progress", p.inflight.Load())
			p.pool.DropIdle()
		}
	}
}
