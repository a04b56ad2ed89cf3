package clock

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Deadlines holds the deadlines of work in flight, so that they can be enforced after a suspension, during which timers stop with the
// monotonic clock. Its zero value is empty.
type Deadlines struct {
	mu     sync.Mutex
	open   map[*deadlineContext]struct{}
	closed bool
}

// Context returns a context that is canceled at the time at of the clock c; calling the CancelFunc removes its deadline.
func (d *Deadlines) Context(ctx context.Context, c Clock, at time.Time) (context.Context, context.CancelFunc) {
	x := newDeadlineContext(ctx, at.Sub(c.Now()))
	x.at = at
	d.mu.Lock()
	if d.open == nil {
		d.open = make(map[*deadlineContext]struct{})
	}
	d.open[x] = struct{}{}
	closed := d.closed
	d.mu.Unlock()
	if closed {
		x.cancel(context.Canceled)
	}
	return x, func() {
		d.mu.Lock()
		delete(d.open, x)
		d.mu.Unlock()
		x.cancel(context.Canceled)
	}
}

// Close cancels all contexts, and from then on new ones at once.
func (d *Deadlines) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for x := range d.open {
		x.cancel(context.Canceled)
	}
	clear(d.open)
}

// CancelExpired cancels the contexts whose deadlines have passed, as they may after a suspension, and returns how many there were.
func (d *Deadlines) CancelExpired(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for x := range d.open {
		if !now.Before(x.at) {
			x.cancel(context.Canceled)
			delete(d.open, x)
			n++
		}
	}
	return n
}

// deadlineContext is a context like that of context.WithTimeout. It makes its channel only when asked for it, and takes functions to
// call at its end without a context for each: a request passes through two of them, which made up a tenth of what a call allocates.
type deadlineContext struct {
	context.Context           // its parent
	at              time.Time // the deadline by the clock of Deadlines
	ends            time.Time // the deadline by the system clock
	timer           *time.Timer
	leaveParent     func() bool

	mu    sync.Mutex
	err   error
	done  chan struct{} // nil until the first call of Done
	after []*afterCall
}

// afterCall is a function to call when a context ends.
type afterCall struct{ f func() }

// newDeadlineContext returns a context that ends with its parent, or after the given time.
func newDeadlineContext(parent context.Context, left time.Duration) *deadlineContext {
	x := &deadlineContext{Context: parent, ends: time.Now().Add(left)}
	if err := parent.Err(); err != nil {
		x.err = err
		return x
	}
	if left <= 0 {
		x.err = context.DeadlineExceeded
		return x
	}
	x.mu.Lock() // the timer may fire and the parent may end before both fields are set
	defer x.mu.Unlock()
	x.timer = time.AfterFunc(left, func() { x.cancel(context.DeadlineExceeded) })
	x.leaveParent = context.AfterFunc(parent, func() { x.cancel(parent.Err()) })
	return x
}

// cancel ends the context unless it has ended.
func (x *deadlineContext) cancel(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.err != nil {
		return
	}
	x.err = err
	if x.done != nil {
		close(x.done)
	}
	x.timer.Stop()
	x.leaveParent()
	for _, call := range x.after {
		go call.f()
	}
	x.after = nil
}

// Deadline returns the earlier deadline of this context and its parent.
func (x *deadlineContext) Deadline() (time.Time, bool) {
	if d, ok := x.Context.Deadline(); ok && d.Before(x.ends) {
		return d, true
	}
	return x.ends, true
}

// Done returns a channel that is closed when the context ends.
func (x *deadlineContext) Done() <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.done == nil {
		x.done = make(chan struct{})
		if x.err != nil {
			close(x.done)
		}
	}
	return x.done
}

// Err returns why the context has ended, or nil.
func (x *deadlineContext) Err() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.err
}

// AfterFunc calls f in a goroutine of its own when the context ends, unless stop is called before; stop reports whether it was. It is
// what context.AfterFunc and the contexts of package context use for a parent of another type.
func (x *deadlineContext) AfterFunc(f func()) (stop func() bool) {
	call := &afterCall{f}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.err != nil {
		go f()
		return func() bool { return false }
	}
	x.after = append(x.after, call)
	return func() bool { return x.drop(call) }
}

// drop removes a function that hasn't been called, and reports whether there was one.
func (x *deadlineContext) drop(call *afterCall) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	i := slices.Index(x.after, call)
	if i < 0 {
		return false
	}
	x.after = slices.Delete(x.after, i, i+1)
	return true
}
