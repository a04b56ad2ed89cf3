package mesh

import (
	"context"
	"time"
)

const (
	// peerQueryTimeout bounds the wait for peers' responses after a restart: a healthy node responds within some hundredths
	// of a second, and an unhealthy one must not delay the reading of the store.
	peerQueryTimeout = 150 * time.Millisecond
	// queriedPeers is how many peers are queried at once: one of them may be lost, and one may have just started.
	queriedPeers = 3
)

// queryPeers queries other nodes after a restart; it reports whether their responses make reading the store unnecessary: with
// other nodes, what was learned, and most likely the desired state. If no seed is configured yet or none responds, one part
// of the records names some nodes. Without this, each of 194 nodes restarted in turn read all four parts and the state.
func (n *Node) queryPeers(ctx context.Context) bool {
	if n.queryHosts(ctx, n.seedHosts) {
		return true
	}
	if n.store.RecordParts == 0 {
		return false
	}
	return n.readRecords(ctx, n.storeAvailability.newAttempt(), n.rnd().IntN(n.store.RecordParts)) && n.queryHosts(ctx, n.hostsLocalZoneFirst)
}

// hostsLocalZoneFirst returns up to queriedPeers random known hosts, those of the local zone first.
func (n *Node) hostsLocalZoneFirst() []string {
	var hosts []string
	for _, scope := range []zoneScope{localZoneOnly, otherZonesOnly} {
		for _, t := range n.exchangeTargets(queriedPeers, scope) {
			hosts = append(hosts, t.host)
		}
	}
	return hosts[:min(len(hosts), queriedPeers)]
}

// queryHosts exchanges with the hosts that choose returns on the control goroutine; it reports whether enough is known then.
func (n *Node) queryHosts(ctx context.Context, choose func() []string) bool {
	waiting, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	var hosts []string
	var body []byte
	chosen := n.enqueueAndWait(waiting, func() { hosts, body = choose(), n.encodeMessage(n.newMessage("")) })
	return chosen && n.queryEach(ctx, waiting, hosts, body)
}

// queryEach exchanges with all hosts in parallel; it reports whether enough is known after a response before waiting ends.
// Later responses are still merged, until ctx ends.
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

// knowsEnough waits until queued control events are processed, and reports whether enough is known to skip reading the
// store's records.
func (n *Node) knowsEnough(ctx context.Context) bool {
	return n.enqueueAndWait(ctx, func() {}) && n.knownNodes.Load() >= minKnownNodes && n.learnedRestore.complete.Load()
}
