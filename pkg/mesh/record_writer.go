package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/directory"
)

// recordWriter keeps this VM's record in the store.
type recordWriter struct {
	mu      sync.Mutex
	newest  directory.Record
	durable int64 // generation that the store has
	changed chan struct{}
	stored  chan struct{} // closed and made anew at each write
	read    chan struct{} // asks for the records of all VMs

	firstRead sync.Once
	wasRead   chan struct{} // closed once all records were read, or couldn't be, for the first time
}

func (w *recordWriter) init() {
	w.changed = make(chan struct{}, 1)
	w.stored = make(chan struct{})
	w.read = make(chan struct{}, 1)
	w.wasRead = make(chan struct{})
}

// mayWrite notes that all records were read, or couldn't be.
func (w *recordWriter) mayWrite() { w.firstRead.Do(func() { close(w.wasRead) }) }

// want asks for a record to be written.
func (w *recordWriter) want(r directory.Record) {
	w.mu.Lock()
	w.newest = r
	w.mu.Unlock()
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// pending returns the record to be written, if there is one.
func (w *recordWriter) pending() (directory.Record, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest, w.newest.Generation > w.durable
}

// done notes that a generation is in the store.
func (w *recordWriter) done(generation int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.durable = max(w.durable, generation)
	close(w.stored)
	w.stored = make(chan struct{})
}

// ackWait is how long a leaving server waits for its word to be stored; its node holds to it anyway, and
// the server takes only an answer within a second.
const ackWait = 400 * time.Millisecond

// await returns when the generation is in the store, or after ackWait.
func (w *recordWriter) await(ctx context.Context, generation int64) {
	ctx, cancel := context.WithTimeout(ctx, ackWait)
	defer cancel()
	for {
		w.mu.Lock()
		stored, done := w.stored, w.durable >= generation
		w.mu.Unlock()
		if done {
			return
		}
		select {
		case <-stored:
		case <-ctx.Done():
			return
		}
	}
}

// The times of calls to the store.
const (
	// storeCallTime bounds one call.
	storeCallTime = 1500 * time.Millisecond
	// storeRetryFirst and storeRetryMost bound the wait before a call is made again.
	storeRetryFirst = 150 * time.Millisecond
	storeRetryMost  = 800 * time.Millisecond
)

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
		if n.writeRecord(ctx, r) {
			continue
		}
		if !clock.Sleep(ctx, jitter(wait)) {
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
func (n *Node) writeRecord(ctx context.Context, r directory.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCallTime)
	defer cancel()
	if err := n.store.WriteRecord(ctx, r); err != nil {
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

// knownEnough is the number of nodes, this one included, from which news spreads by exchanges alone.
const knownEnough = 3

// askRead asks for the records of all VMs. A node that knows hardly any other, as at the first start, has written its
// own record and then reads those of all that wrote before it, and tells them of itself: so all know all, though nothing lists
// the VMs.
func (w *recordWriter) askRead() {
	select {
	case w.read <- struct{}{}:
	default:
	}
}
