package mesh

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rockspoke/rockspoke/pkg/follow"
)

// exchangePath is the path at which nodes exchange control state.
const exchangePath = "/exchange"

// The bounds of exchanges.
const (
	localZoneFanout = 2 // peers of the own availability zone per exchange
	// announceFanout is how many peers receive a recent update at once; they pass it on in turn.
	announceFanout = 3
	// crossZoneShare is the share of a node's exchanges that include a peer of another zone, and crossZoneExchanges bounds
	// them per zone and period: traffic between zones is paid for, and updates spread within a zone by themselves. With
	// fewer, sums of other zones were often older than minZoneLoadTTL: in a minute with one zone cut off, 14 nodes reached
	// 0.707 and 0.675 of the value of all answers with one peer of the local zone and a share of a quarter, 0.748 with two.
	crossZoneShare     = 0.35
	crossZoneExchanges = 4.0
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 800 * time.Millisecond
	// maxMessageBytes bounds a message; a desired state of thousands of routes fits.
	maxMessageBytes = 8 << 20
)

// gossip starts exchanges with a few random peers.
func (n *Node) gossip(ctx context.Context) {
	targets := n.exchangeTargets(localZoneFanout, localZoneOnly)
	if n.rnd().Float64() < min(crossZoneShare, crossZoneExchanges/float64(max(len(n.control.zoneHosts), 1))) {
		targets = append(targets, n.exchangeTargets(1, otherZonesOnly)...)
	}
	n.exchangeWithAll(ctx, targets)
}

// exchangeWithAll starts exchanges with the given peers, with one message per zone.
func (n *Node) exchangeWithAll(ctx context.Context, targets []exchangeTarget) {
	bodies := map[string][]byte{} // by zone
	for _, t := range targets {
		body, ok := bodies[t.zone]
		if !ok {
			body = n.encodeMessage(n.newMessage(t.zone))
			bodies[t.zone] = body
		}
		n.exchangeAndComplete(ctx, t.host, body)
	}
}

// exchangeAndComplete sends a message to a peer in the background, then all records if its answer shows that it lacks some.
func (n *Node) exchangeAndComplete(ctx context.Context, host string, body []byte) {
	go func() {
		if n.exchangeWith(ctx, host, body) {
			n.enqueue(func() { n.sendMissing(ctx, host) })
		}
	}()
}

// encodeMessage encodes a message; it logs an error and returns what was encoded if that fails.
func (n *Node) encodeMessage(m message) []byte {
	body, err := m.pack()
	if err != nil {
		n.controlLog.Error("failed to encode message", "err", err)
	}
	return body
}

// announce sends recent updates to some random peers of any zone at once.
func (n *Node) announce() { n.announceTo(anyZone) }

// announceTo sends recent updates to some random peers of the given zones at once.
func (n *Node) announceTo(scope zoneScope) {
	n.exchangeWithAll(context.Background(), n.exchangeTargets(announceFanout, scope))
}

// exchangeWith sends a message to a peer and merges its answer; it reports whether there was a readable one.
func (n *Node) exchangeWith(ctx context.Context, host string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p := n.peer(host)
	res, err := p.post(ctx, time.Time{}, exchangePath, body)
	if err != nil {
		if p.backOff(n.clock.Now()) {
			n.controlLog.Warn("peer does not respond", "peer", host, "err", err)
		}
		return false
	}
	data := newMessageBuffer()
	defer releaseMessageBuffer(data)
	if err := readMessage(data, res.Body); err != nil {
		n.controlLog.Warn("exchange failed", "peer", host, "err", err)
		return false
	}
	return n.mergeMessage(host, data.Bytes()) != nil
}

// serveExchange answers a peer's message with what this node knows.
func (n *Node) serveExchange(w http.ResponseWriter, r *http.Request) {
	data := newMessageBuffer()
	defer releaseMessageBuffer(data)
	if err := readMessage(data, r.Body); err != nil {
		n.controlLog.Debug("exchange failed", "peer", r.RemoteAddr, "err", err)
		return
	}
	m := n.mergeMessage(r.RemoteAddr, data.Bytes())
	if m == nil {
		http.Error(w, "not a message", http.StatusBadRequest)
		return
	}
	var a message
	if !n.enqueueAndWait(r.Context(), func() { a = n.newResponse(m) }) {
		return
	}
	body, err := a.pack()
	if err == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(body))) // else it is sent in chunks
		_, err = w.Write(body)
	}
	if err != nil {
		n.controlLog.Debug("exchange failed", "peer", m.From, "err", err)
	}
}

// mergeMessage merges what is newer in a peer's message; it returns nil if the message can't be decoded.
func (n *Node) mergeMessage(from string, data []byte) *message {
	var m message
	if err := unpack(data, &m); err != nil {
		n.controlLog.Warn("failed to decode message", "peer", from, "err", err)
		return nil
	}
	n.peer(m.From).receivedExchange(n.clock.Now(), m.Stopping)
	n.noteStoreEpoch(m.From, m.StoreEpoch)
	switch {
	case m.Version <= n.stateVersion() || n.conflict.isWithdrawn(m.Version): // not newer, so the state needn't be decoded
	case len(m.State) > 0:
		n.applyState(m.From, m.State)
	default:
		n.noteVersion(m.From, m.Version)
	}
	if m.StateAgeKnown {
		n.followTracker.with(func(w *follow.Tracker) { w.AddPeerReport(n.clock.Now(), n.stateVersion(), m.Version, m.StateAge) })
	}
	n.enqueue(func() {
		now := n.clock.Now()
		n.restoreFromPeer(m.From, m.Learned)
		n.mergeRecords(m.From, m.Records)
		n.mergeReports(now, m.From, m.Reports)
		n.mergeZoneLoads(now, m.From, m.Zones)
		n.applySuspectUpdates(now, m.Crashes, m.Cases)
		p := n.peer(m.From)
		p.digest, p.lacksLearned = m.Digest, m.WantsLearned
	})
	return &m
}

// sendMissing sends a peer all records, and what was learned, if its answer showed that it lacks some of them.
func (n *Node) sendMissing(ctx context.Context, host string) {
	p := n.peer(host)
	lacksLearned := p.lacksLearned && !n.control.retainedRuns.Empty()
	if p.digest == n.control.directory.Digest() && !lacksLearned {
		return
	}
	body := n.encodeMessage(n.newRecordsMessage(lacksLearned))
	go n.exchangeWith(ctx, host, body)
}

// requestState requests a peer's newer desired state.
func (n *Node) requestState(host string) {
	m := n.newMessage("")
	m.WantsState = true
	n.exchangeAndComplete(context.Background(), host, n.encodeMessage(m))
}
