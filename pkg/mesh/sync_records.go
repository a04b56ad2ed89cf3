package mesh

import (
	"context"
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
)

// The constants of reading all records.
const (
	// fullReadPeriod is the time between reads of all records in a small mesh: exchanges carry the changes, and these reads
	// connect nodes that don't know of each other.
	fullReadPeriod = 20 * time.Second
	// fullReadNodes is the number of nodes up to which fullReadPeriod applies; with more nodes it grows, so that all of them
	// together read no more often.
	fullReadNodes = 16
	// discoveryNodes is how many nodes a node of a new mesh has to know to skip the other parts of the records. Each node
	// reads a random part after it has written its own record; that connects all, and exchanges do the rest.
	discoveryNodes = 8
)

// syncRecords reads the records of all VMs at the start, unless peers have sent them, and then periodically until ctx ends.
func (n *Node) syncRecords(ctx context.Context) {
	var wait backoff
	switch {
	case n.cfg.Mesh.FirstStart:
		n.awaitReadDue(ctx, n.jitter(fullReadPeriod)) // nobody has written a record yet
		if n.discoverNodes(ctx) {
			n.awaitReadDue(ctx, n.fullReadDelay())
		}
	case n.queryPeers(ctx):
		n.controlLog.Info("received records from peers", "nodes", n.knownNodes.Load())
		close(n.followTracker.peersQueried)
		n.records.noteFirstRead()
		n.awaitReadDue(ctx, n.fullReadDelay())
	default:
		close(n.followTracker.peersQueried)
	}
	for ctx.Err() == nil {
		pause := n.fullReadDelay()
		t := n.storeAvailability.newAttempt()
		if n.readRecords(ctx, t) {
			wait = 0
			n.awaitReadDue(ctx, pause)
			continue
		}
		n.records.noteFirstRead()
		t.sleep(ctx, n.jitter(wait.next(storeRetryFirst, storeRetryMax)))
	}
}

// fullReadDelay returns the randomized time until the next read of all records.
func (n *Node) fullReadDelay() time.Duration {
	nodes := max(int(n.knownNodes.Load()), fullReadNodes)
	return n.jitter(fullReadPeriod * time.Duration(nodes) / fullReadNodes)
}

// discoverNodes reads parts of the records in random order until discoveryNodes are known; it reports false if a read
// failed.
func (n *Node) discoverNodes(ctx context.Context) bool {
	for _, part := range n.rnd().Perm(n.store.RecordParts) {
		if n.knownNodes.Load() >= discoveryNodes {
			break
		}
		if !n.readRecords(ctx, n.storeAvailability.newAttempt(), part) {
			return false
		}
	}
	return true
}

// readRecords reads all records, or those of the given parts, once, and announces to some peers; it reports whether the
// store answered.
func (n *Node) readRecords(ctx context.Context, t storeAttempt, parts ...int) bool {
	var stored Stored
	err := n.callStore(ctx, t, readRecordsCall, storeCallTimeout, func(ctx context.Context) (err error) {
		stored, err = n.store.ReadRecords(ctx, parts...)
		return err
	})
	if err != nil {
		n.controlLog.Warn("failed to read records", "err", err)
		return false
	}
	if len(stored.Unreadable) > 0 {
		n.controlLog.Warn("skipped unreadable rows of the store", "rows", len(stored.Unreadable), "err", stored.Unreadable[0])
	}
	n.enqueueAndWait(ctx, func() {
		whole := len(parts) == 0 // a part may lack the local record, and has only some of what was learned
		if whole {
			n.restoreFromStore(stored.Learned)
			n.restoreQuarantined(stored.Quarantined)
			n.noteStoredGeneration(stored.Records)
		}
		n.mergeRecords("store", stored.Records)
		if whole {
			n.records.noteFirstRead()
		}
		n.announce()
	})
	return true
}

// noteStoredGeneration notes which generation of this VM's record is among the records of the store.
func (n *Node) noteStoredGeneration(records []directory.Record) {
	generation := int64(0)
	for _, r := range records {
		if r.Host == n.ip {
			generation = r.Generation
		}
	}
	n.records.reconcile(generation)
}

// awaitReadDue returns when a read is requested, after the pause, or when ctx ends.
func (n *Node) awaitReadDue(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.records.readRequests:
	case <-ctx.Done():
	}
}
