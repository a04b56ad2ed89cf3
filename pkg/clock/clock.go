package clock

import (
	"sync"
	"time"
)

// Clock tells the time and makes tickers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// NewTicker returns a channel that receives a time every d, and a function that stops it.
	NewTicker(d time.Duration) (<-chan time.Time, func())
}

// Real is the machine's clock. Spans between its times count suspensions of the machine that were noticed (NoteSuspension); its time of day is ahead by
// as much then, so it is for spans, not for dates.
type Real struct{}

// Now returns the current time with its monotonic reading.
func (Real) Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }

// NewTicker returns the channel and the stop function of a time.Ticker.
func (Real) NewTicker(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// Manual is a clock that stands still until it is advanced; its zero value starts at the zero time.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	tickers map[*manualTicker]struct{}
}

type manualTicker struct {
	c     chan time.Time
	every time.Duration
	next  time.Time
}

// NewManual returns a Manual clock that shows now.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the time last set.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// NewTicker returns a channel that fires as Advance passes each multiple of d.
func (m *Manual) NewTicker(d time.Duration) (<-chan time.Time, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTicker{c: make(chan time.Time, 1), every: d, next: m.now.Add(d)}
	if m.tickers == nil {
		m.tickers = map[*manualTicker]struct{}{}
	}
	m.tickers[t] = struct{}{}
	stop := func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.tickers, t)
	}
	return t.c, stop
}

// Advance moves the clock forward by d and fires the tickers that fall due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for t := range m.tickers {
		if t.next.After(m.now) {
			continue
		}
		for !t.next.After(m.now) {
			t.next = t.next.Add(t.every)
		}
		select {
		case t.c <- m.now:
		default:
		}
	}
}
