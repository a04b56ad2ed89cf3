package mesh

import (
	"context"
	"sync"
	"time"

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
}

func (w *recordWriter) init() {
	w.changed = make(chan struct{}, 1)
	w.stored = make(chan struct{})
	w.read = make(chan struct{}, 1)
}

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

// The times of writing to and reading from the store.
const (
	// storeCallTime bounds one call.
	storeCallTime = 1500 * time.Millisecond
	// storeRetryFirst and storeRetryMost bound the wait before a call is made again.
	storeRetryFirst = 150 * time.Millisecond
	storeRetryMost  = 800 * time.Millisecond
	// recordsPeriod is the time between readings of all records: exchanges carry the news, and this
	// catches what they missed.
	recordsPeriod = 20 * time.Second
	// startSpread spreads the first readings of many nodes that start at once.
	startSpread = 100 * time.Millisecond
)

// writeRecords writes the record whenever it has changed, and again until the store has it.
func (n *Node) writeRecords(ctx context.Context) {
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
		cctx, cancel := context.WithTimeout(ctx, storeCallTime)
		err := n.store.WriteRecord(cctx, r)
		cancel()
		if err == nil {
			n.records.done(r.Generation)
			n.records.askRead()
			continue
		}
		n.metrics.count("store_errors_total")
		n.controlLog.Warn("record not stored", "generation", r.Generation, "err", err)
		if !sleep(ctx, jitter(wait)) {
			return
		}
		wait = min(2*wait, storeRetryMost)
	}
}

// askRead asks for the records of all VMs. A node that has written its own then reads those of all that
// wrote before it, and tells them of itself: so all know all, though nothing lists the VMs.
func (w *recordWriter) askRead() {
	select {
	case w.read <- struct{}{}:
	default:
	}
}

// syncRecords reads the records of all VMs at the start, after each own write, and from time to time.
func (n *Node) syncRecords(ctx context.Context) {
	wait := storeRetryFirst
	if !sleep(ctx, jitter(startSpread)) {
		return
	}
	for {
		cctx, cancel := context.WithTimeout(ctx, storeCallTime)
		records, err := n.store.ReadRecords(cctx)
		cancel()
		pause := jitter(recordsPeriod)
		if err != nil {
			n.metrics.count("store_errors_total")
			n.controlLog.Warn("records not read", "err", err)
			pause = jitter(wait)
			wait = min(2*wait, storeRetryMost)
		} else {
			wait = storeRetryFirst
			n.do(func() {
				n.merge("store", records)
				n.announce()
			})
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-n.records.read:
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}
