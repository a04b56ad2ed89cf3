package mesh

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/awaited"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/httpconn"
)

// peer is another node, or this one, as a way to the backend server beside it.
type peer struct {
	host  string
	local bool
	pool  *httpconn.Pool

	near     atomic.Bool // in this node's availability zone
	slots    atomic.Int64
	inflight atomic.Int64 // sent by this node and not ended
	awaited  awaited.Table

	// digest of its records, and whether it lacks what was learned, as it last told; the control goroutine's.
	digest    uint64
	unlearned bool

	mu       sync.Mutex
	zone     string
	load     serverLoad
	silence  silence
	failures int
	asideTil time.Time
	life     string    // of the server, as its record says
	known    time.Time // since when that is known
	ended    string    // the life that ended
	endedTil time.Time // until when that counts
	stopping time.Time // when its planned stop was first heard of; zero: it isn't stopping
}

// serverLoad is what a server's node last told of it.
type serverLoad struct {
	others  int64 // running and queued, without those of this node
	limit   float64
	pace    float64
	success float64 // share of good answers
	at      time.Time
}

// The constants of what is believed of a peer.
const (
	asideFirst = 250 * time.Millisecond
	asideMost  = 4 * time.Second
	// asideDoublings bounds the shift; asideMost is reached before.
	asideDoublings = 6
	// loadStale is how long a told load counts.
	loadStale = 2 * time.Second
	// peerIdle is how long a connection between nodes rests; it is far below idleTime, so that no request
	// crosses the other side's close.
	peerIdle = 30 * time.Second
	// endedTime is how long requests pass by a server that has ended: the next one is known by its first heartbeat, and should the server
	// be there all the same it is found out by one request then, which its node refuses at no cost.
	endedTime = 5 * time.Second
	// settleTime is how long news of a server takes to be everywhere: some rounds of exchanges.
	settleTime = time.Second
	// leastSuccess bounds how little a failing server counts for, so that it is still tried.
	leastSuccess = 0.1
)

// peer returns the peer of a VM, made if it is new.
func (n *Node) peer(host string) *peer {
	n.peersMu.Lock()
	defer n.peersMu.Unlock()
	p, ok := n.peers[host]
	if !ok {
		addr := withPort(host, n.cfg.Listen.Peers)
		if port := n.cfg.Mesh.PeerPort; port != 0 {
			addr = net.JoinHostPort(host, strconv.Itoa(port))
		}
		p = &peer{
			host: host, local: host == n.ip,
			pool: &httpconn.Pool{
				Dial: n.network.dialFunc(n.ip, addr, dialTime), Clock: n.clock, Idle: peerIdle,
				Once: map[string]bool{n.names.AttemptID: true, n.names.TimeLeft: true},
			},
		}
		n.peers[host] = p
	}
	return p
}

// describe takes over what a record says of the peer's server.
func (p *peer) describe(now time.Time, r directory.Record, zone string) {
	p.near.Store(r.Zone == zone)
	p.slots.Store(int64(r.Slots))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zone = r.Zone
	if life := r.LifeName(); p.life != life {
		p.life, p.known = life, now
		p.load = serverLoad{} // the next life knows nothing of what the one before did
	}
}

// settled tells whether the server has been known for long enough that all nodes know it.
func (p *peer) settled(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.known) >= settleTime
}

// lifeKnown returns the life of the peer's server that is known.
func (p *peer) lifeKnown() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

// serverEnded notes that a life of the peer's server has ended.
func (p *peer) serverEnded(now time.Time, life string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended, p.endedTil = life, now.Add(endedTime)
}

// inZone returns the availability zone of the peer's server.
func (p *peer) inZone() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.zone
}

// heard takes the load that came with an answer, and ends the time aside.
func (p *peer) heard(now time.Time, r peerReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load = serverLoad{
		others: max(int64(r.Running+r.Queued)-p.inflight.Load(), 0),
		limit:  float64(r.Limit), pace: float64(r.Slowdown) / 100, success: float64(r.Success) / 100, at: now,
	}
	p.endAside()
	p.noteStop(now, r.Stopping)
}

// noteStop takes the peer's word on whether it is stopping; p.mu is held.
func (p *peer) noteStop(now time.Time, stopping bool) {
	switch {
	case !stopping:
		p.stopping = time.Time{}
	case p.stopping.IsZero():
		p.stopping = now
	}
}

// stopsFor returns for how long the peer is known to be stopping, and whether it is.
func (p *peer) stopsFor(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.stopping), !p.stopping.IsZero()
}

// alive ends the time aside: the node was heard, and told whether it is stopping.
func (p *peer) alive(now time.Time, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endAside()
	p.noteStop(now, stopping)
}

// answered ends the time aside: the node has answered a question.
func (p *peer) answered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endAside()
}

// endAside takes the peer for one that was just heard; p.mu is held.
func (p *peer) endAside() { p.failures, p.asideTil, p.silence = 0, time.Time{}, silence{} }

// failed sets the peer aside for a growing time; it reports whether it was in use before.
func (p *peer) failed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !now.Before(p.asideTil)
	if first {
		p.asideTil = now.Add(min(asideFirst<<min(p.failures, asideDoublings), asideMost))
		p.failures++
	}
	return first
}

// gone tells whether the peer's server has ended and the next one isn't known yet.
func (p *peer) gone(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isGone(now)
}

// isGone does the same while p.mu is held.
func (p *peer) isGone(now time.Time) bool {
	return p.ended != "" && p.ended == p.life && now.Before(p.endedTil)
}

// usable tells whether the peer isn't set aside, and its server hasn't ended without the next one being known yet. One that was set aside, and hasn't been
// heard since, is tried by one request at a time.
func (p *peer) usable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isGone(now) {
		return false
	}
	return !now.Before(p.asideTil) && (p.failures == 0 || p.inflight.Load() == 0)
}

// reachable tells whether the last exchange with the peer went well, or there was none yet.
func (p *peer) reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures == 0
}

// estimate is what is believed of a peer's server.
type estimate struct {
	use     float64 // 1 when every slot that counts is taken
	success float64 // share of good answers
	pace    float64 // time that requests hold a slot, as a multiple of what their kinds do at any server; 0: not known
}

// estimate returns what is believed now; news that is too old says nothing.
func (p *peer) estimate(now time.Time) estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := estimate{success: 1}
	capacity := float64(p.slots.Load())
	others := int64(0)
	if p.load.limit > 0 {
		capacity = p.load.limit
	}
	if now.Sub(p.load.at) < loadStale {
		others = p.load.others
		e.success = max(p.load.success, leastSuccess)
		e.pace = p.load.pace
	}
	e.use = float64(p.inflight.Load()+others+1) / max(capacity, 1)
	return e
}
