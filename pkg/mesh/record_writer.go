package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
)

// recordWriter keeps this VM's record in the store.
type recordWriter struct {
	mu                sync.Mutex
	latest            directory.Record
	durableGeneration int64 // generation that the store has
	changed           chan struct{}
	storedSignal      chan struct{} // closed and made anew at each write
	readRequests      chan struct{} // asks for the records of all VMs

	firstRead     sync.Once
	firstReadDone chan struct{} // closed once all records were read, or couldn't be, for the first time
}

func (w *recordWriter) init() {
	w.changed = make(chan struct{}, 1)
	w.storedSignal = make(chan struct{})
	w.readRequests = make(chan struct{}, 1)
	w.firstReadDone = make(chan struct{})
}

// noteFirstRead notes that all records were read, or couldn't be.
func (w *recordWriter) noteFirstRead() { w.firstRead.Do(func() { close(w.firstReadDone) }) }

// awaitFirstRead returns once they were; it reports false if ctx ends first.
func (w *recordWriter) awaitFirstRead(ctx context.Context) bool {
	select {
	case <-w.firstReadDone:
		return true
	case <-ctx.Done():
		return false
	}
}

// requestWrite asks for a record to be written.
func (w *recordWriter) requestWrite(r directory.Record) {
	w.mu.Lock()
	w.latest = r
	w.mu.Unlock()
	w.signalWrite()
}

// pending returns the record to be written, if there is one.
func (w *recordWriter) pending() (directory.Record, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest, w.latest.Generation > w.durableGeneration
}

// markDurable notes that a generation is in the store, or most likely is.
func (w *recordWriter) markDurable(generation int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setDurable(max(w.durableGeneration, generation))
}

// setDurable wakes those who wait for it; w.mu is held.
func (w *recordWriter) setDurable(generation int64) {
	w.durableGeneration = generation
	close(w.storedSignal)
	w.storedSignal = make(chan struct{})
}

// reconcile takes what all records have of this VM, 0 if nothing: what was taken for stored and isn't is written.
func (w *recordWriter) reconcile(generation int64) {
	w.mu.Lock()
	w.setDurable(generation)
	missing := w.latest.Generation > w.durableGeneration
	w.mu.Unlock()
	if missing {
		w.signalWrite()
	}
}

// markLost notes that the store may have markLost the record: it is written again.
func (w *recordWriter) markLost() { w.reconcile(0) }

// signalWrite has the record looked at.
func (w *recordWriter) signalWrite() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// ackTimeout is how long a leaving server waits for its word to be stored; its node holds to it anyway, and
// the server takes only an answer within a second.
const ackTimeout = 400 * time.Millisecond

// awaitDurable returns when the generation is in the store, or after ackWait.
func (w *recordWriter) awaitDurable(ctx context.Context, generation int64) {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	for {
		w.mu.Lock()
		stored, done := w.storedSignal, w.durableGeneration >= generation
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

// requestRead asks for the records of all VMs. A node that knows hardly any other, as at the first start, has written
// its own record and then reads those of all that wrote before it, and tells them of itself: so all know all, though
// nothing lists the VMs.
func (w *recordWriter) requestRead() {
	select {
	case w.readRequests <- struct{}{}:
	default:
	}
}
