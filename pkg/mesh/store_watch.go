package mesh

import (
	"context"
	"errors"
	"sync"
	"time"
)

// storeWatch joins what a node's calls of the store find: once one is answered after others were not, those that still
// hang, or wait for their next try, are made again at once. A node that has just started needs the answers of two of them
// before it can serve anything; with each waiting for its own time-out the second came up to 0.9 s after the first. Its zero
// value takes the store for well.
type storeWatch struct {
	mu      sync.Mutex
	failing bool
	back    chan struct{} // closed when the store answers again
}

// whenBack returns a channel that is closed when the store next answers after a failure.
func (w *storeWatch) whenBack() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.back == nil {
		w.back = make(chan struct{})
	}
	return w.back
}

// note takes how a call ended.
func (w *storeWatch) note(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var gone *HistoryGoneError
	answered := err == nil || errors.As(err, &gone)
	if answered && w.failing && w.back != nil {
		close(w.back)
		w.back = nil
	}
	w.failing = !answered
}

// storeTry is one call of the store, and the wait for the next one if it fails.
type storeTry struct {
	watch *storeWatch
	back  <-chan struct{}
}

// try begins a call.
func (w *storeWatch) try() storeTry { return storeTry{watch: w, back: w.whenBack()} }

// call makes the call within a time; it is given up as soon as the store answers another one after a failure.
func (t storeTry) call(ctx context.Context, span time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-t.back:
			cancel()
		case <-ended:
		}
	}()
	err := f(ctx)
	if !t.overtaken() {
		t.watch.note(err)
	}
	return err
}

// overtaken tells whether the store has answered another call since this one began.
func (t storeTry) overtaken() bool {
	select {
	case <-t.back:
		return true
	default:
		return false
	}
}

// sleep waits before the next try, or until the store answers another call; it reports false if ctx ends first.
func (t storeTry) sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.back:
		return true
	case <-ctx.Done():
		return false
	}
}
