package soak

import (
	"slices"
	"sync"
)

// overlappingFaults are the faults in effect at one place. The newest applies; when it ends, the newest of those that
// remain does. The zero value has none.
type overlappingFaults[T any] struct {
	mu     sync.Mutex
	active []*T
}

// add puts a fault into effect; the returned function ends it.
func (o *overlappingFaults[T]) add(f T) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	entry := &f
	o.active = append(o.active, entry)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.active = slices.DeleteFunc(o.active, func(x *T) bool { return x == entry })
	}
}

// current returns the newest fault in effect, or the zero value if there is none.
func (o *overlappingFaults[T]) current() (f T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.active); n > 0 {
		f = *o.active[n-1]
	}
	return f
}
