package mesh

import (
	"context"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// The times of reading all records.
const (
	// recordsPeriod is the time between readings of all records: exchanges carry the news, and this
	// catches what they missed.
	recordsPeriod = 20 * time.Second
	// startSpread spreads the first readings of many nodes that start at once.
	startSpread = 100 * time.Millisecond
)

// syncRecords reads the records of all VMs at the start, after each own write, and from time to time.
func (n *Node) syncRecords(ctx context.Context) {
	wait := storeRetryFirst
	if !clock.Sleep(ctx, jitter(startSpread)) {
		return
	}
	for ctx.Err() == nil {
		pause := jitter(recordsPeriod)
		if n.readRecords(ctx) {
			wait = storeRetryFirst
		} else {
			pause = jitter(wait)
			wait = min(2*wait, storeRetryMost)
		}
		n.awaitRead(ctx, pause)
	}
}

// readRecords reads all records once and tells some peers; it reports whether the store answered.
func (n *Node) readRecords(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCallTime)
	defer cancel()
	records, err := n.store.ReadRecords(ctx)
	if err != nil {
		n.metrics.count("store_errors_total")
		n.controlLog.Warn("records not read", "err", err)
		return false
	}
	n.do(func() {
		n.merge("store", records)
		n.announce()
	})
	return true
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
