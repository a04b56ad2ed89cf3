package mesh

import (
	"context"
	"errors"
	"sync"
	"time"
)

// storeAvailability joins what a node's calls of the store find: once one is answered after others were not, those that still
// hang, or wait for their next try, are made again at once. A node that has just started needs the answers of two of them
// before it can serve anything; with each waiting for its own time-out the second came up to 0.9 s after the first. Its zero
// value takes the store for well.
type storeAvailability struct {
	mu        sync.Mutex
	failing   bool
	recovered chan struct{} // closed when the store answers again
}

// recoveredSignal returns a channel that is closed when the store next answers after a failure.
func (w *storeAvailability) recoveredSignal() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.recovered == nil {
		w.recovered = make(chan struct{})
	}
	return w.recovered
}

// noteResult takes how a call ended.
func (w *storeAvailability) noteResult(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var gone *HistoryGoneError
	answered := err == nil || errors.As(err, &gone)
	if answered && w.failing && w.recovered != nil {
		close(w.recovered)
		w.recovered = nil
	}
	w.failing = !answered
}

// storeAttempt is one call of the store, and the wait for the next one if it fails.
type storeAttempt struct {
	availability *storeAvailability
	recovered    <-chan struct{}
}

// newAttempt begins a call.
func (w *storeAvailability) newAttempt() storeAttempt {
	return storeAttempt{availability: w, recovered: w.recoveredSignal()}
}

// call makes the call within a time; it is given up as soon as the store answers another one after a failure.
func (t storeAttempt) call(ctx context.Context, span time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-t.recovered:
			cancel()
		case <-ended:
		}
	}()
	err := f(ctx)
	if !t.superseded() {
		t.availability.noteResult(err)
	}
	return err
}

// superseded tells whether the store has answered another call since this one began.
func (t storeAttempt) superseded() bool {
	select {
	case <-t.recovered:
		return true
	default:
		return false
	}
}

// sleep waits before the next try, or until the store answers another call; it reports false if ctx ends first.
func (t storeAttempt) sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.recovered:
		return true
	case <-ctx.Done():
		return false
	}
}
