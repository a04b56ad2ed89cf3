package mesh

import (
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/advertised"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// peerNotices is what a node knows of another VM's server that limits its rate or leaves; peer.mu guards it. The node beside
// the server may forget it in a restart, so each node goes by what it has seen itself.
type peerNotices struct {
	lifetime  directory.Lifetime // as the server's record says
	limit     advertised.Tracker
	use       float64   // requests a second that arrive for the server, relative to the limit
	usedAt    time.Time // when use was reported
	allowedAt time.Time // the rate allows no further request before
	fullUntil time.Time // no request is sent before, even if the limit is lifted meanwhile
	leaving   bool
	fromNode  bool // the peer's node sends notices, so it reads headerKnownLimit
}

// maxFullTime bounds how long a reply counts that shows a server at its rate limit, or near it: the limit may be lifted at any
// time, which shows only in an answer.
const maxFullTime = 500 * time.Millisecond

// startLifetime drops what is known of an earlier lifetime of the peer's server; p.mu must be held.
func (p *peer) startLifetime(at directory.Lifetime) {
	if p.notices.lifetime.SameAs(at) {
		p.notices.lifetime = p.notices.lifetime.MoreKnown(at)
		return
	}
	p.notices = peerNotices{lifetime: at}
	p.hasNotice.Store(false)
}

// knownServer returns the lifetime of the peer's server, as its record says.
func (p *peer) knownServer() directory.Lifetime {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices.lifetime
}

// receivedNotice records what the reply to a request, sent at sent, tells of the peer's server; fromNode is set if the peer's
// node reported it, not only the server's header. It reports whether the server is now known to be leaving and wasn't before.
func (p *peer) receivedNotice(sent, now time.Time, r serverNotice, fromNode bool) (startsLeaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.notices
	if !s.lifetime.SameAs(r.Lifetime) {
		return false // that lifetime has ended, or its record hasn't arrived yet
	}
	s.fromNode = fromNode
	s.limit.Observe(sent, now, r.Limit)
	s.use, s.usedAt = float64(r.Use)/100, now
	s.allowedAt, s.fullUntil = now.Add(r.Wait), now.Add(min(r.Wait, maxFullTime))
	startsLeaving = r.Leaving && !s.leaving
	s.leaving = s.leaving || r.Leaving
	p.hasNotice.Store(s.leaving || s.limit.Limit().Advertised)
	return startsLeaving
}

// isLeaving reports whether the peer's server has said that it is leaving, in an answer that this node has seen.
func (p *peer) isLeaving() bool {
	if !p.hasNotice.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices.leaving
}

// fullFor reports whether the peer's server is at its rate limit, and for how long the rate allows no further request.
func (p *peer) fullFor(now time.Time) (wait time.Duration, full bool) {
	if !p.hasNotice.Load() {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.notices.limit.Limit().Advertised {
		return 0, false
	}
	return p.notices.allowedAt.Sub(now), now.Before(p.notices.fullUntil)
}

// rateUse returns the use of the server's rate limit, 0 if it has none or the use isn't known; p.mu must be held.
func (p *peer) rateUse(now time.Time) float64 {
	if !p.notices.limit.Limit().Advertised || now.Sub(p.notices.usedAt) >= maxFullTime {
		return 0
	}
	return p.notices.use
}

// knownLimit returns the rate limit of the peer's server as this node knows it, if the peer's node reads it.
func (p *peer) knownLimit() knownLimit {
	if !p.hasNotice.Load() {
		return knownLimit{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.notices.fromNode {
		return knownLimit{}
	}
	return knownLimit{p.notices.limit.Limit(), p.notices.lifetime.Instance}
}

// sending is when a request was sent, and to which lifetime of the peer's server as far as this node knew.
type sending struct {
	at     time.Time
	server directory.Lifetime
}

// noteNotice applies what the reply r to a request tells of the peer's server. Nodes that send no notice pass on the server's own
// header, which is all that there is to tell of a server without a limit.
func (d *delivery) noteNotice(p *peer, sent sending, r peerReply, h http.Header) {
	notice := r.Notice
	fromNode := notice.Lifetime.Instance != ""
	if !fromNode {
		if r.Outcome != wire.Ran {
			return
		}
		notice.Lifetime = sent.server
		notice.Limit, _ = d.n.names.Advertised.ParseRateLimit(h) // the node beside the server logs unusable values
		notice.Leaving, _ = d.n.names.Advertised.ParseLeaving(h) // likewise
	}
	if !p.receivedNotice(sent.at, d.n.clock.Now(), notice, fromNode) {
		return
	}
	d.n.callLog.Info("server is leaving by its answer", "peer", p.host, "instance", notice.Lifetime.Instance, "request", d.q.id)
	d.n.enqueue(func() { d.n.markDraining(p.host, notice.Lifetime) })
}

// markDraining records that the server of another VM is leaving, so that all nodes learn of it even if its own node restarts.
func (n *Node) markDraining(host string, at directory.Lifetime) {
	r, changed := n.control.directory.MarkDraining(host, at)
	if !changed {
		return
	}
	n.control.recentRecords.add(n.clock.Now(), r)
	n.publishView()
}
