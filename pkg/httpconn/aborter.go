package httpconn

import "sync"

// Aborter ends an exchange that waits for its answer. Its zero value is ready for one call of Do, as is a nil pointer.
type Aborter struct {
	mu      sync.Mutex
	aborted bool
	end     func() // ends the current step of the exchange; nil: there is none
}

// Abort ends a call of Do that is in progress, and any later one.
func (a *Aborter) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.end != nil {
		a.end()
	}
}

// Aborted reports whether Abort was called.
func (a *Aborter) Aborted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aborted
}

// onAbort sets what ends the current step of the exchange, and calls it if Abort was called before.
func (a *Aborter) onAbort(end func()) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end = end
	if a.aborted && end != nil {
		end()
	}
}
