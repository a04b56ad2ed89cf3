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
	// storeRetryFirst and storeRetryMax bound the wait before a call is made again.
	storeRetryFirst = 150 * time.Millisecond
	storeRetryMax   = 800 * time.Millisecond
)

// minKnownNodes is the number of known nodes, this one included, from which updates spread by exchanges alone.
const minKnownNodes = 3

// writeRecords writes this VM's record whenever it has changed, and retries until the store has it or ctx ends.
func (n *Node) writeRecords(ctx context.Context) {
	// Nothing is stored before the first start. After a restart, the restored local record most likely equals the next
	// heartbeat, and needs no write.
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
		t := n.storeAvailability.newAttempt()
		if n.writeRecord(ctx, t, r) {
			continue
		}
		if !t.sleep(ctx, n.jitter(wait.next(storeRetryFirst, storeRetryMax))) {
			return
		}
	}
}

// writeRecord makes one call, and reports whether the store has the record. It requests a read if few nodes are known.
func (n *Node) writeRecord(ctx context.Context, t storeAttempt, r directory.Record) bool {
	err := n.callStore(ctx, t, writeRecordCall, storeCallTimeout, func(ctx context.Context) error {
		return n.store.WriteRecord(ctx, r)
	})
	if err != nil {
		n.controlLog.Warn("failed to store record", "generation", r.Generation, "err", err)
		return false
	}
	n.records.markDurable(r.Generation)
	if n.knownNodes.Load() < minKnownNodes {
		n.records.requestRead()
	}
	return true
}
