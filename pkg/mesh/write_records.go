package mesh

import (
	"context"
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
)

// The times of calls to the store.
const (
	// storeCallTime bounds one call.
	storeCallTime = 1500 * time.Millisecond
	// followTime bounds a call that waits for changes: longer than any store holds one.
	followTime = time.Minute
	// storeRetryFirst and storeRetryMost bound the wait before a call is made again.
	storeRetryFirst = 150 * time.Millisecond
	storeRetryMost  = 800 * time.Millisecond
)

// knownEnough is the number of nodes, this one included, from which news spreads by exchanges alone.
const knownEnough = 3

// writeRecords writes the record whenever it has changed, and again until the store has it.
func (n *Node) writeRecords(ctx context.Context) {
	n.awaitFirstRead(ctx)
	wait := storeRetryFirst
	for {
		r, ok := n.records.pending()
		if !ok {
			wait = storeRetryFirst
			select {
			case <-n.records.changed:
				continue
			case <-ctx.Done():
				return
			}
		}
		t := n.storeWatch.try()
		if n.writeRecord(ctx, t, r) {
			continue
		}
		if !t.sleep(ctx, jitter(wait)) {
			return
		}
		wait = min(2*wait, storeRetryMost)
	}
}

// awaitFirstRead returns once the node has recalled what was stored of its own server: after a restart that is most
// likely what its next heartbeat says, and needs no write.
func (n *Node) awaitFirstRead(ctx context.Context) {
	if n.cfg.Mesh.FirstStart {
		return // nothing is stored yet
	}
	select {
	case <-n.records.wasRead:
	case <-ctx.Done():
	}
}

// writeRecord makes one call, and reports whether the store has the record.
func (n *Node) writeRecord(ctx context.Context, t storeTry, r directory.Record) bool {
	err := t.call(ctx, storeCallTime, func(ctx context.Context) error { return n.store.WriteRecord(ctx, r) })
	if err != nil {
		n.metrics.count("store_errors_total")
		n.controlLog.Warn("record not stored", "generation", r.Generation, "err", err)
		return false
	}
	n.records.done(r.Generation)
	if n.nodes.Load() < knownEnough {
		n.records.askRead()
	}
	return true
}
