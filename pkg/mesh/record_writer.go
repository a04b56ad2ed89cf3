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

	firstRead sync.Once
	wasRead   chan struct{} // closed once all records were read, or couldn't be, for the first time
}

func (w *recordWriter) init() {
	w.changed = make(chan struct{}, 1)
	w.stored = make(chan struct{})
	w.read = make(chan struct{}, 1)
	w.wasRead = make(chan struct{})
}

// noteFirstRead notes that all records were read, or couldn't be.
func (w *recordWriter) noteFirstRead() { w.firstRead.Do(func() { close(w.wasRead) }) }

// awaitFirstRead returns once they were; it reports false if ctx ends first.
func (w *recordWriter) awaitFirstRead(ctx context.Context) bool {
	select {
	case <-w.wasRead:
		return true
	case <-ctx.Done():
		return false
	}
}

// want asks for a record to be written.
func (w *recordWriter) want(r directory.Record) {
	w.mu.Lock()
	w.newest = r
	w.mu.Unlock()
	w.askWrite()
}

// pending returns the record to be written, if there is one.
func (w *recordWriter) pending() (directory.Record, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest, w.newest.Generation > w.durable
}

// done notes that a generation is in the store, or most likely is.
func (w *recordWriter) done(generation int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setDurable(max(w.durable, generation))
}

// setDurable wakes those who wait for it; w.mu is held.
func (w *recordWriter) setDurable(generation int64) {
	w.durable = generation
	close(w.stored)
	w.stored = make(chan struct{})
}

// found takes what all records have of this VM, 0 if nothing: what was taken for stored and isn't is written.
func (w *recordWriter) found(generation int64) {
	w.mu.Lock()
	w.setDurable(generation)
	missing := w.newest.Generation > w.durable
	w.mu.Unlock()
	if missing {
		w.askWrite()
	}
}

// lost notes that the store may have lost the record: it is written again.
func (w *recordWriter) lost() { w.found(0) }

// askWrite has the record looked at.
func (w *recordWriter) askWrite() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
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

// askRead asks for the records of all VMs. A node that knows hardly any other, as at the first start, has written
// its own record and then reads those of all that wrote before it, and tells them of itself: so all know all, though
// nothing lists the VMs.
func (w *recordWriter) askRead() {
	select {
	case w.read <- struct{}{}:
	default:
	}
}
