package mesh

import (
	"context"
	"errors"
	"sync"
	"time"
)

// storeAvailability shares the results of a node's calls to the store: once one call is answered after failures, the calls
// that still hang or wait for their retry are made again at once. A node that has just started needs two answers before it can
// serve; when each call waited for its own timeout, the second came up to 0.9 s after the first. The zero value assumes that
// the store is available.
type storeAvailability struct {
	mu        sync.Mutex
	failing   bool
	recovered chan struct{} // closed when the store answers again after a failure
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

// noteResult processes the result of a call. A HistoryGoneError is an answer of the store, too.
func (w *storeAvailability) noteResult(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var historyGone *HistoryGoneError
	answered := err == nil || errors.As(err, &historyGone)
	if answered && w.failing && w.recovered != nil {
		close(w.recovered)
		w.recovered = nil
	}
	w.failing = !answered
}

// storeAttempt is one call to the store, and the wait for the next one if it fails.
type storeAttempt struct {
	availability *storeAvailability
	recovered    <-chan struct{}
}

// newAttempt returns an attempt that ends early when the store recovers from now on.
func (w *storeAvailability) newAttempt() storeAttempt {
	return storeAttempt{availability: w, recovered: w.recoveredSignal()}
}

// call calls f with the timeout; it cancels f as soon as the store answers another call after a failure.
func (t storeAttempt) call(ctx context.Context, timeout time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

// superseded reports whether the store has recovered since this attempt began.
func (t storeAttempt) superseded() bool {
	select {
	case <-t.recovered:
		return true
	default:
		return false
	}
}

// sleep waits before the next attempt, or until the store recovers; it reports false if ctx ends first.
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
