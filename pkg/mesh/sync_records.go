package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
)

// The times of reading all records.
const (
	// recordsPeriod is the time between readings of all records in a small mesh: exchanges carry the news,
	// and this brings nodes together that don't know of each other.
	recordsPeriod = 20 * time.Second
	// recordsNodes is the number of nodes up to which recordsPeriod holds; it grows with more, so that all
	// of them together read no more often.
	recordsNodes = 16
	// meetNodes is how many nodes a node of a new mesh has to know to leave the other parts of the records unread. Each
	// reads a part taken at random, after it has written its own, so that all are joined, and exchanges do the rest.
	meetNodes = 8
)

// syncRecords reads the records of all VMs at the start, unless peers know them, and from time to time.
func (n *Node) syncRecords(ctx context.Context) {
	var wait backoff
	switch {
	case n.cfg.Mesh.FirstStart:
		n.awaitRead(ctx, jitter(recordsPeriod)) // nobody has written a record yet
		if n.meetOthers(ctx) {
			n.awaitRead(ctx, n.recordsPause())
		}
	case n.askPeers(ctx):
		n.controlLog.Info("records heard from peers", "nodes", n.knownNodes.Load())
		close(n.watch.mayBegin)
		n.records.noteFirstRead()
		n.awaitRead(ctx, n.recordsPause())
	default:
		close(n.watch.mayBegin)
	}
	for ctx.Err() == nil {
		pause := n.recordsPause()
		t := n.storeWatch.try()
		if n.readRecords(ctx, t) {
			wait = 0
			n.awaitRead(ctx, pause)
			continue
		}
		n.records.noteFirstRead()
		t.sleep(ctx, jitter(wait.next(storeRetryFirst, storeRetryMost)))
	}
}

// recordsPause returns the time until the next reading of all records.
func (n *Node) recordsPause() time.Duration {
	nodes := max(int(n.knownNodes.Load()), recordsNodes)
	return jitter(recordsPeriod * time.Duration(nodes) / recordsNodes)
}

// meetOthers reads one part of the records after the other until enough nodes are known; it reports whether the store
// answered.
func (n *Node) meetOthers(ctx context.Context) bool {
	for _, part := range rand.Perm(n.store.RecordParts) {
		if n.knownNodes.Load() >= meetNodes {
			break
		}
		if !n.readRecords(ctx, n.storeWatch.try(), part) {
			return false
		}
	}
	return true
}

// readRecords reads all records, or those of a part, once and tells some peers; it reports whether the store answered.
func (n *Node) readRecords(ctx context.Context, t storeTry, parts ...int) bool {
	var stored Stored
	err := n.callStore(ctx, t, readRecordsCall, storeCallTime, func(ctx context.Context) (err error) {
		stored, err = n.store.ReadRecords(ctx, parts...)
		return err
	})
	if err != nil {
		n.controlLog.Warn("records not read", "err", err)
		return false
	}
	if len(stored.Unreadable) > 0 {
		n.controlLog.Warn("rows of the store passed over", "rows", len(stored.Unreadable), "err", stored.Unreadable[0])
	}
	n.enqueueAndWait(ctx, func() {
		whole := len(parts) == 0 // a part may lack the own record, and has some of what was learned
		if whole {
			n.recallStored(stored.Learned)
			n.restoreQuarantined(stored.Quarantined)
			n.noteStored(stored.Records)
		}
		n.mergeRecords("store", stored.Records)
		if whole {
			n.records.noteFirstRead()
		}
		n.announce()
	})
	return true
}

// noteStored notes which generation of this VM's record the store has.
func (n *Node) noteStored(records []directory.Record) {
	generation := int64(0)
	for _, r := range records {
		if r.Host == n.ip {
			generation = r.Generation
		}
	}
	n.records.found(generation)
}

// awaitRead returns when a reading is asked for, after the pause, or when ctx ends.
func (n *Node) awaitRead(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.records.read:
	case <-ctx.Done():
	}
}
