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
	"github.com/rockspoke/rockspoke/pkg/pace"
)

// peer is a node, which may be this one, as the route to the backend server on its VM.
type peer struct {
	host  string
	local bool
	pool  *httpconn.Pool

	sameZone atomic.Bool // it is in this node's availability zone
	slots    atomic.Int64
	inflight atomic.Int64 // requests from this node in flight
	// readsReserve reports whether the peer's node reads headerReserve; one of the release before would pass it on to its server.
	readsReserve atomic.Bool
	waiting      atomic.Bool // requests may wait for an answer
	// hasNotice is set while the server limits its rate or leaves, so that the others are chosen from without a look at notices.
	hasNotice atomic.Bool
	awaited   awaited.Table

	// digest is that of the peer's records, and lacksLearned whether it lacks learned call statistics, both as last reported; only the control
	// goroutine uses them.
	digest       uint64
	lacksLearned bool

	mu              sync.Mutex
	zone            string
	load            serverLoad
	unansweredSends unansweredSends
	failures        int
	backedOffUntil  time.Time
	lifetime        string    // of the server, as its record says
	knownSince      time.Time // when this lifetime became known
	crashedLifetime string    // the lifetime that crashed
	crashedUntil    time.Time // until when the crash counts
	stoppingSince   time.Time // when its planned stop became known; zero: it isn't stopping
	notices         peerNotices
}

// serverLoad is the load of a server, as its node last reported it.
type serverLoad struct {
	otherRequests int64 // running and queued, without those of this node
	limit         float64
	slowdown      float64 // lasting slowdown times pace
	pace          float64 // the server's pace by what it told; 0: it tells none
	success       float64 // fraction of successful answers
	receivedAt    time.Time
}

// Limits on what a node assumes about its peers.
const (
	minPeerBackoff = 250 * time.Millisecond
	maxPeerBackoff = 4 * time.Second
	// maxBackoffDoublings bounds the shift; maxPeerBackoff is reached before.
	maxBackoffDoublings = 6
	// maxLoadAge is how long a reported load counts.
	maxLoadAge = 2 * time.Second
	// peerIdleTimeout is how long a connection between nodes may be idle. It is far below idleTimeout, so that no request
	// races with the other side closing the connection.
	peerIdleTimeout = 30 * time.Second
	// crashAvoidanceTime is how long requests avoid a server that crashed. The restarted server is known by its first heartbeat; if the server is up
	// without one, a single request afterwards shows whether it is listening; if it isn't, its node refuses the request at no cost.
	crashAvoidanceTime = 5 * time.Second
	// recordSpreadTime is how long a server's record takes to reach all nodes: some rounds of exchanges.
	recordSpreadTime = time.Second
	// minSuccessRate bounds the weight of a failing server from below, so that it is still tried.
	minSuccessRate = 0.1
)

// peer returns the peer of a VM and creates it if it is new.
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
				Dial: n.network.dialFunc(n.ip, addr, dialTimeout), Clock: n.clock, IdleTimeout: peerIdleTimeout,
				NeverIndexed: map[string]bool{n.names.AttemptID: true, n.names.TimeLeft: true},
			},
		}
		n.peers[host] = p
	}
	return p
}

// updateFromRecord updates the peer with its server's record; zone is this node's availability zone.
func (p *peer) updateFromRecord(now time.Time, r directory.Record, zone string) {
	p.sameZone.Store(r.Zone == zone)
	p.slots.Store(int64(r.Slots))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zone = r.Zone
	p.startLifetime(r.Lifetime())
	if lifetime := r.LifetimeID(); p.lifetime != lifetime {
		p.lifetime, p.knownSince = lifetime, now
		p.load = serverLoad{} // the load of the previous lifetime doesn't apply to the new one
	}
}

// isWidelyKnown reports whether the server's lifetime has been known for long enough that all nodes know it.
func (p *peer) isWidelyKnown(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.knownSince) >= recordSpreadTime
}

// knownLifetime returns the name of the known lifetime of the peer's server.
func (p *peer) knownLifetime() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lifetime
}

// markServerCrashed notes that a lifetime of the peer's server has crashed.
func (p *peer) markServerCrashed(now time.Time, lifetime string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashedLifetime, p.crashedUntil = lifetime, now.Add(crashAvoidanceTime)
}

// serverZone returns the availability zone of the peer's server.
func (p *peer) serverZone() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.zone
}

// receivedReply records the load and the stopping state that came with an answer and ends the backoff.
func (p *peer) receivedReply(now time.Time, r peerReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load = serverLoad{
		otherRequests: max(int64(r.Running+r.Queued)-p.inflight.Load(), 0),
		limit:         float64(r.Limit), slowdown: float64(r.Slowdown) / 100, pace: float64(r.Pace) / 100, success: float64(r.Success) / 100, receivedAt: now,
	}
	p.readsReserve.Store(r.ReadsReserve)
	p.endBackoff()
	p.setStopping(now, r.Stopping)
}

// setStopping records whether the peer reports that it is stopping; p.mu must be held.
func (p *peer) setStopping(now time.Time, stopping bool) {
	switch {
	case !stopping:
		p.stoppingSince = time.Time{}
	case p.stoppingSince.IsZero():
		p.stoppingSince = now
	}
}

// stoppingFor returns for how long the peer has been known to be stopping, and whether it is.
func (p *peer) stoppingFor(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.stoppingSince), !p.stoppingSince.IsZero()
}

// receivedExchange ends the backoff after an exchange with the node and notes whether it is stopping.
func (p *peer) receivedExchange(now time.Time, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endBackoff()
	p.setStopping(now, stopping)
}

// markReachable ends the backoff after the node has answered a request.
func (p *peer) markReachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endBackoff()
}

// endBackoff clears the backoff and the count of unanswered requests; p.mu must be held.
func (p *peer) endBackoff() {
	p.failures, p.backedOffUntil, p.unansweredSends = 0, time.Time{}, unansweredSends{}
}

// backOff backs the peer off for a growing time; it reports whether the peer was in use before.
func (p *peer) backOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasInUse := !now.Before(p.backedOffUntil)
	if wasInUse {
		p.backedOffUntil = now.Add(min(minPeerBackoff<<min(p.failures, maxBackoffDoublings), maxPeerBackoff))
		p.failures++
	}
	return wasInUse
}

// isServerDown reports whether the peer's server has crashed and its next lifetime isn't known yet.
func (p *peer) isServerDown(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isServerDownLocked(now)
}

// isServerDownLocked does the same; p.mu must be held.
func (p *peer) isServerDownLocked(now time.Time) bool {
	return p.crashedLifetime != "" && p.crashedLifetime == p.lifetime && now.Before(p.crashedUntil)
}

// usable reports whether requests may be sent to the peer: it isn't backed off and its server isn't down. After a backoff it
// gets one request at a time until it answers.
func (p *peer) usable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isServerDownLocked(now) {
		return false
	}
	return !now.Before(p.backedOffUntil) && (p.failures == 0 || p.inflight.Load() == 0)
}

// reachable reports whether the last exchange with the peer succeeded, or there was none yet.
func (p *peer) reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures == 0
}

// loadEstimate is the estimated state of a peer's server.
type loadEstimate struct {
	utilization float64 // 1 when all usable slots are taken, or the whole rate limit
	success     float64 // fraction of successful answers
	slowdown    float64 // slot hold time relative to the same kinds of requests at all servers; 0: not known
	pace        float64 // the part of slowdown that the server tells as its pace, aged; 0: it tells none
}

// loadEstimate returns the current estimate; a reported load that is too old is ignored.
func (p *peer) loadEstimate(now time.Time) loadEstimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := loadEstimate{success: 1}
	capacity := float64(p.slots.Load())
	otherRequests := int64(0)
	if p.load.limit > 0 {
		capacity = p.load.limit
	}
	if age := now.Sub(p.load.receivedAt); age < maxLoadAge {
		otherRequests = p.load.otherRequests
		e.success = max(p.load.success, minSuccessRate)
		e.slowdown = p.load.slowdown
		if p.load.pace > 0 {
			e.pace = pace.Aged(p.load.pace, age)
			e.slowdown *= e.pace / p.load.pace
		}
	}
	e.utilization = max(float64(p.inflight.Load()+otherRequests+1)/max(capacity, 1), p.rateUse(now))
	return e
}
