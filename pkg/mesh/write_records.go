package mesh

import (
	"context"
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
)

// The times of calls to the store.
const (
	// storeCallTimeout bounds one call.
	storeCallTimeout = 1500 * time.Millisecond
	// followCallTimeout bounds a call that waits for changes: longer than any store holds one.
	followCallTimeout = time.Minute
	// storeRetryFirst and storeRetryMost bound the wait before a call is made again.
	storeRetryFirst = 150 * time.Millisecond
	storeRetryMax   = 800 * time.Millisecond
)

// minKnownNodes is the number of nodes, this one included, from which news spreads by exchanges alone.
const minKnownNodes = 3

// writeRecords writes the record whenever it has changed, and again until the store has it.
func (n *Node) writeRecords(ctx context.Context) {
	// Nothing is stored before the first start. After a restart what was recalled of the own server is most likely what its
	// next heartbeat says, and needs no write.
	if !n.cfg.Mesh.FirstStart && !n.records.awaitFirstRead(ctx) {
		return
	}
	var wait backoff
	for {
		r, ok := n.records.pending()
		if !ok {
			wait = 0
			select {
			case <-n.records.changed:
				continue
			case <-ctx.Done():
				return
			}
		}
		t := n.storeWatch.newAttempt()
		if n.writeRecord(ctx, t, r) {
			continue
		}
		if !t.sleep(ctx, jitter(wait.next(storeRetryFirst, storeRetryMax))) {
			return
		}
	}
}

// writeRecord makes one call, and reports whether the store has the record.
func (n *Node) writeRecord(ctx context.Context, t storeAttempt, r directory.Record) bool {
	err := n.callStore(ctx, t, writeRecordCall, storeCallTimeout, func(ctx context.Context) error {
		return n.store.WriteRecord(ctx, r)
	})
	if err != nil {
		n.controlLog.Warn("record not stored", "generation", r.Generation, "err", err)
		return false
	}
	n.records.markDurable(r.Generation)
	if n.nodes.Load() < minKnownNodes {
		n.records.requestRead()
	}
	return true
}
