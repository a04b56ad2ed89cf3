package mesh

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// peerQueryTimeout bounds the wait for the answers of peers after a restart: they come within some hundredths of a second from a
	// node that is well, and one that isn't must not hold up the reading of the store.
	peerQueryTimeout = 150 * time.Millisecond
	// queriedPeers are asked at a time: one of them may be lost, and one may have been started just now.
	queriedPeers = 3
)

// queryPeers asks other nodes after a restart; it reports whether what they told will do without the store: other nodes, what
// was learned, and most likely the desired state. The seeds may come late, and be gone: then one part of the records names
// some nodes. Of 194 nodes that were restarted in turn each read all four parts and the state before.
func (n *Node) queryPeers(ctx context.Context) bool {
	if n.queryHosts(ctx, n.seedHosts) {
		return true
	}
	if n.store.RecordParts == 0 {
		return false
	}
	return n.readRecords(ctx, n.storeWatch.newAttempt(), rand.N(n.store.RecordParts)) && n.queryHosts(ctx, n.hostsOwnZoneFirst)
}

// hostsOwnZoneFirst returns some nodes that are known, those of the own zone first.
func (n *Node) hostsOwnZoneFirst() []string {
	var hosts []string
	for _, where := range []zoneScope{ownZoneOnly, otherZonesOnly} {
		for _, t := range n.exchangeTargets(queriedPeers, where) {
			hosts = append(hosts, t.host)
		}
	}
	return hosts[:min(len(hosts), queriedPeers)]
}

// queryHosts exchanges at once with the hosts, which the control goroutine chooses.
func (n *Node) queryHosts(ctx context.Context, choose func() []string) bool {
	waiting, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	var hosts []string
	var body []byte
	chosen := n.ask(waiting, func() { hosts, body = choose(), n.encodeMessage(n.newMessage("")) })
	return chosen && n.queryEach(ctx, waiting, hosts, body)
}

// queryEach exchanges with all hosts at once; it reports whether one of those that answer while it is waited for tells enough.
// The others may answer later.
func (n *Node) queryEach(ctx, waiting context.Context, hosts []string, body []byte) bool {
	ended := make(chan bool, len(hosts))
	for _, h := range hosts {
		go func() { ended <- n.exchangeWith(ctx, h, body) }()
	}
	for range hosts {
		select {
		case answered := <-ended:
			if answered && n.knowsEnough(waiting) {
				return true
			}
		case <-waiting.Done():
			return false
		}
	}
	return false
}

// knowsEnough tells whether enough is known to do without the store's records, once all that came before was taken.
func (n *Node) knowsEnough(ctx context.Context) bool {
	return n.ask(ctx, func() {}) && n.nodes.Load() >= minKnownNodes && n.knowledge.complete.Load()
}
