package mesh

import (
	"context"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
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
	// startSpread spreads the first readings of many nodes that start at once.
	startSpread = 100 * time.Millisecond
)

// syncRecords reads the records of all VMs at the start, after each own write, and from time to time.
func (n *Node) syncRecords(ctx context.Context) {
	wait := storeRetryFirst
	if n.cfg.Mesh.FirstStart {
		n.awaitRead(ctx, jitter(recordsPeriod)) // nobody has written a record yet
	} else if !clock.Sleep(ctx, jitter(startSpread)) {
		return
	}
	for ctx.Err() == nil {
		nodes := max(int(n.nodes.Load()), recordsNodes)
		pause := jitter(recordsPeriod * time.Duration(nodes) / recordsNodes)
		t := n.storeWatch.try()
		if n.readRecords(ctx, t) {
			wait = storeRetryFirst
			n.awaitRead(ctx, pause)
			continue
		}
		n.records.noteFirstRead()
		t.sleep(ctx, jitter(wait))
		wait = min(2*wait, storeRetryMost)
	}
}

// readRecords reads all records once and tells some peers; it reports whether the store answered.
func (n *Node) readRecords(ctx context.Context, t storeTry) bool {
	var stored Stored
	err := t.call(ctx, storeCallTime, func(ctx context.Context) (err error) {
		stored, err = n.store.ReadRecords(ctx)
		return err
	})
	if err != nil {
		n.metrics.count("store_errors_total")
		n.controlLog.Warn("records not read", "err", err)
		return false
	}
	n.do(func() {
		n.recallStored(stored.Learned)
		n.noteStored(stored.Records)
		n.merge("store", stored.Records)
		n.records.noteFirstRead()
		n.announce()
	})
	return true
}

// noteStored notes which generation of this VM's record the store has.
func (n *Node) noteStored(records []directory.Record) {
	for _, r := range records {
		if r.Host == n.ip {
			n.records.done(r.Generation)
		}
	}
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
