package soak

import (
	"slices"
	"sync"
)

// overlapping are the faults that hold at one place: the newest counts, and when it is over an older one that still
// lasts. Its zero value has none.
type overlapping[T any] struct {
	mu   sync.Mutex
	held []*T
}

// hold adds a fault; the returned function ends it.
func (o *overlapping[T]) hold(f T) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	held := &f
	o.held = append(o.held, held)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.held = slices.DeleteFunc(o.held, func(x *T) bool { return x == held })
	}
}

// now returns the fault that counts, or a zero one.
func (o *overlapping[T]) now() (f T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.held); n > 0 {
		f = *o.held[n-1]
	}
	return f
}
