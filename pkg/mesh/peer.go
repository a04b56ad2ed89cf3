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

	sameZone atomic.Bool // in this node's availability zone
	slots    atomic.Int64
	inflight atomic.Int64 // sent by this node and not ended
	awaited  awaited.Table

	// digest of its records, and whether it lacks what was learned, as it last told; the control goroutine's.
	digest       uint64
	lacksLearned bool

	mu              sync.Mutex
	zone            string
	load            serverLoad
	unansweredSends unansweredSends
	failures        int
	backedOffUntil  time.Time
	lifetime        string    // of the server, as its record says
	knownSince      time.Time // since when that is known
	crashedLifetime string    // the life that ended
	crashedUntil    time.Time // until when that counts
	stoppingSince   time.Time // when its planned stop was first heard of; zero: it isn't stopping
}

// serverLoad is what a server's node last told of it.
type serverLoad struct {
	otherRequests int64 // running and queued, without those of this node
	limit         float64
	slowdown      float64
	success       float64 // share of good answers
	receivedAt    time.Time
}

// The constants of what is believed of a peer.
const (
	minPeerBackoff = 250 * time.Millisecond
	maxPeerBackoff = 4 * time.Second
	// maxBackoffDoublings bounds the shift; asideMost is reached before.
	maxBackoffDoublings = 6
	// maxLoadAge is how long a told load counts.
	maxLoadAge = 2 * time.Second
	// peerIdleTimeout is how long a connection between nodes rests; it is far below idleTime, so that no request
	// crosses the other side's close.
	peerIdleTimeout = 30 * time.Second
	// crashAvoidanceTime is how long requests pass by a server that has ended: the next one is known by its first heartbeat, and should the server
	// be there all the same it is found out by one request then, which its node refuses at no cost.
	crashAvoidanceTime = 5 * time.Second
	// recordSpreadTime is how long news of a server takes to be everywhere: some rounds of exchanges.
	recordSpreadTime = time.Second
	// minSuccessRate bounds how little a failing server counts for, so that it is still tried.
	minSuccessRate = 0.1
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
				Dial: n.network.dialFunc(n.ip, addr, dialTimeout), Clock: n.clock, Idle: peerIdleTimeout,
				Once: map[string]bool{n.names.AttemptID: true, n.names.TimeLeft: true},
			},
		}
		n.peers[host] = p
	}
	return p
}

// updateFromRecord takes over what a record says of the peer's server.
func (p *peer) updateFromRecord(now time.Time, r directory.Record, zone string) {
	p.sameZone.Store(r.Zone == zone)
	p.slots.Store(int64(r.Slots))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zone = r.Zone
	if life := r.LifeName(); p.lifetime != life {
		p.lifetime, p.knownSince = life, now
		p.load = serverLoad{} // the next life knows nothing of what the one before did
	}
}

// isWidelyKnown tells whether the server has been known for long enough that all nodes know it.
func (p *peer) isWidelyKnown(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.knownSince) >= recordSpreadTime
}

// knownLifetime returns the life of the peer's server that is known.
func (p *peer) knownLifetime() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lifetime
}

// markServerCrashed notes that a life of the peer's server has ended.
func (p *peer) markServerCrashed(now time.Time, life string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashedLifetime, p.crashedUntil = life, now.Add(crashAvoidanceTime)
}

// serverZone returns the availability zone of the peer's server.
func (p *peer) serverZone() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.zone
}

// receivedReply takes the load that came with an answer, and ends the time aside.
func (p *peer) receivedReply(now time.Time, r reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load = serverLoad{
		otherRequests: max(int64(r.Running+r.Queued)-p.inflight.Load(), 0),
		limit:         float64(r.Limit), slowdown: float64(r.Pace) / 100, success: float64(r.Success) / 100, receivedAt: now,
	}
	p.endBackoff()
	p.setStopping(now, r.Stopping)
}

// setStopping takes the peer's word on whether it is stopping; p.mu is held.
func (p *peer) setStopping(now time.Time, stopping bool) {
	switch {
	case !stopping:
		p.stoppingSince = time.Time{}
	case p.stoppingSince.IsZero():
		p.stoppingSince = now
	}
}

// stoppingFor returns for how long the peer is known to be stopping, and whether it is.
func (p *peer) stoppingFor(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.stoppingSince), !p.stoppingSince.IsZero()
}

// receivedExchange ends the time aside: the node was heard, and told whether it is stopping.
func (p *peer) receivedExchange(now time.Time, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endBackoff()
	p.setStopping(now, stopping)
}

// markReachable ends the time aside: the node has markReachable a question.
func (p *peer) markReachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endBackoff()
}

// endBackoff takes the peer for one that was just heard; p.mu is held.
func (p *peer) endBackoff() {
	p.failures, p.backedOffUntil, p.unansweredSends = 0, time.Time{}, unansweredSends{}
}

// backOff sets the peer aside for a growing time; it reports whether it was in use before.
func (p *peer) backOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !now.Before(p.backedOffUntil)
	if first {
		p.backedOffUntil = now.Add(min(minPeerBackoff<<min(p.failures, maxBackoffDoublings), maxPeerBackoff))
		p.failures++
	}
	return first
}

// isServerDown tells whether the peer's server has ended and the next one isn't known yet.
func (p *peer) isServerDown(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isServerDownLocked(now)
}

// isServerDownLocked does the same while p.mu is held.
func (p *peer) isServerDownLocked(now time.Time) bool {
	return p.crashedLifetime != "" && p.crashedLifetime == p.lifetime && now.Before(p.crashedUntil)
}

// usable tells whether the peer isn't set aside, and its server hasn't ended without the next one being known yet. One that was set aside, and hasn't been
// heard since, is tried by one request at a time.
func (p *peer) usable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isServerDownLocked(now) {
		return false
	}
	return !now.Before(p.backedOffUntil) && (p.failures == 0 || p.inflight.Load() == 0)
}

// reachable tells whether the last exchange with the peer went well, or there was none yet.
func (p *peer) reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures == 0
}

// loadEstimate is what is believed of a peer's server.
type loadEstimate struct {
	utilization float64 // 1 when every slot that counts is taken
	success     float64 // share of good answers
	slowdown    float64 // time that requests hold a slot, as a multiple of what their kinds do at any server; 0: not known
}

// loadEstimate returns what is believed now; news that is too old says nothing.
func (p *peer) loadEstimate(now time.Time) loadEstimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := loadEstimate{success: 1}
	capacity := float64(p.slots.Load())
	others := int64(0)
	if p.load.limit > 0 {
		capacity = p.load.limit
	}
	if now.Sub(p.load.receivedAt) < maxLoadAge {
		others = p.load.otherRequests
		e.success = max(p.load.success, minSuccessRate)
		e.slowdown = p.load.slowdown
	}
	e.utilization = float64(p.inflight.Load()+others+1) / max(capacity, 1)
	return e
}
