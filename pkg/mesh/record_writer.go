package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
)

// recordWriter tracks which generation of this VM's record the store has, and signals reads and writes of records.
type recordWriter struct {
	mu                sync.Mutex
	latest            directory.Record
	durableGeneration int64         // newest generation that the store has
	changed           chan struct{} // signals that latest may have to be written
	storedSignal      chan struct{} // closed and made anew at each write
	readRequests      chan struct{} // requests a read of the records of all VMs

	firstRead     sync.Once
	firstReadDone chan struct{} // closed after the first attempt to read all records
}

// init prepares the writer for use.
func (w *recordWriter) init() {
	w.changed = make(chan struct{}, 1)
	w.storedSignal = make(chan struct{})
	w.readRequests = make(chan struct{}, 1)
	w.firstReadDone = make(chan struct{})
}

// noteFirstRead marks the first attempt to read all records as done.
func (w *recordWriter) noteFirstRead() { w.firstRead.Do(func() { close(w.firstReadDone) }) }

// awaitFirstRead waits for the first attempt to read all records; it reports false if ctx ends first.
func (w *recordWriter) awaitFirstRead(ctx context.Context) bool {
	select {
	case <-w.firstReadDone:
		return true
	case <-ctx.Done():
		return false
	}
}

// requestWrite requests that a record be written.
func (w *recordWriter) requestWrite(r directory.Record) {
	w.mu.Lock()
	w.latest = r
	w.mu.Unlock()
	w.signalWrite()
}

// pending returns the latest record, and whether it has to be written.
func (w *recordWriter) pending() (directory.Record, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest, w.latest.Generation > w.durableGeneration
}

// markDurable notes that the store has a generation, or most likely has it.
func (w *recordWriter) markDurable(generation int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setDurable(max(w.durableGeneration, generation))
}

// setDurable sets the stored generation and wakes awaitDurable; w.mu must be held.
func (w *recordWriter) setDurable(generation int64) {
	w.durableGeneration = generation
	close(w.storedSignal)
	w.storedSignal = make(chan struct{})
}

// reconcile sets the generation that the store was found to have, 0 for none, and requests a write if it lacks the latest.
func (w *recordWriter) reconcile(generation int64) {
	w.mu.Lock()
	w.setDurable(generation)
	missing := w.latest.Generation > w.durableGeneration
	w.mu.Unlock()
	if missing {
		w.signalWrite()
	}
}

// markLost requests that the record be written again, since the store may have lost it.
func (w *recordWriter) markLost() { w.reconcile(0) }

// signalWrite wakes the goroutine that writes the record.
func (w *recordWriter) signalWrite() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// ackTimeout is how long the answer to a leaving server waits until its record is stored. Its node stops using the server
// anyway, and the server accepts an answer only within a second.
const ackTimeout = 400 * time.Millisecond

// awaitDurable waits until the store has the generation; it reports false after ackTimeout, or if ctx ends.
func (w *recordWriter) awaitDurable(ctx context.Context, generation int64) bool {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	for {
		w.mu.Lock()
		stored, done := w.storedSignal, w.durableGeneration >= generation
		w.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-stored:
		case <-ctx.Done():
			return false
		}
	}
}

// requestRead requests a read of the records of all VMs. A node that knows few others, as at the first start, writes its own
// record, then reads all records written before and exchanges with those nodes. So all nodes discover each other without a
// list of VMs.
func (w *recordWriter) requestRead() {
	select {
	case w.readRequests <- struct{}{}:
	default:
	}
}
