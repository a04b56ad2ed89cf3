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

// Real is the machine's clock. Differences between its times include the suspensions of the machine that DetectSuspension has found. Its
// time of day is ahead by as much, so it is for measuring durations, not for dates.
type Real struct{}

// Now returns the current time with its monotonic reading, plus the detected suspensions.
func (Real) Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }

// NewTicker returns the channel and the stop function of a time.Ticker.
func (Real) NewTicker(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// Manual is a clock that only Advance moves; its zero value starts at the zero time.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	tickers map[*manualTicker]struct{}
}

// manualTicker is a ticker of a Manual clock.
type manualTicker struct {
	c      chan time.Time
	period time.Duration
	next   time.Time // of the next tick
}

// NewManual returns a Manual clock that shows now.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the time last set.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// NewTicker returns a channel that receives the time when Advance passes one or more multiples of d, and a function that stops it.
func (m *Manual) NewTicker(d time.Duration) (<-chan time.Time, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTicker{c: make(chan time.Time, 1), period: d, next: m.now.Add(d)}
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

// Advance moves the clock forward by d and fires each ticker that is due once.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for t := range m.tickers {
		if t.next.After(m.now) {
			continue
		}
		for !t.next.After(m.now) {
			t.next = t.next.Add(t.period)
		}
		select {
		case t.c <- m.now:
		default:
		}
	}
}
