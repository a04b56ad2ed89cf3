package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspended is for how long, in nanoseconds, this machine was suspended while the process lived, as far as that was noticed.
var suspended atomic.Int64

// stoodStill is how far the boot clock, which goes on while the machine is suspended, is ahead of the steady one, which doesn't.
func stoodStill() time.Duration {
	return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC)
}

// atStart is the same as it was when the process began.
var atStart = stoodStill()

// readClock returns what a clock of the system shows; one that can't be read shows 0, and then none is ahead.
func readClock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// leastSuspension is what is taken for a suspension: the two clocks are read one after the other.
const leastSuspension = 50 * time.Millisecond

// DetectSuspension looks for how long the machine was suspended since the last look, and counts it from now on.
func (Real) DetectSuspension() time.Duration {
	total := stoodStill() - atStart
	before := time.Duration(suspended.Load())
	if total-before < leastSuspension {
		return 0
	}
	suspended.Store(int64(total))
	return total - before
}

// SuspensionDetector is a Clock whose steady part may stand still while the machine is suspended.
type SuspensionDetector interface {
	// DetectSuspension returns for how long that was since the last look, and has the clock count it from now on.
	DetectSuspension() time.Duration
}

// DetectSuspension looks for a suspension if the clock knows of any.
func DetectSuspension(c Clock) time.Duration {
	if s, ok := c.(SuspensionDetector); ok {
		return s.DetectSuspension()
	}
	return 0
}

// Deadlines are the time limits of work in progress; its zero value has none. Timers stand still with the steady clock.
type Deadlines struct {
	mu   sync.Mutex
	ends map[*limit]struct{}
}

// limit is one of them.
type limit struct {
	at     time.Time
	cancel context.CancelFunc
}

// Context returns a context that ends at a time of the clock.
func (l *Deadlines) Context(ctx context.Context, c Clock, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, at.Sub(c.Now()))
	x := &limit{at: at, cancel: cancel}
	l.mu.Lock()
	if l.ends == nil {
		l.ends = make(map[*limit]struct{})
	}
	l.ends[x] = struct{}{}
	l.mu.Unlock()
	return ctx, func() {
		l.mu.Lock()
		delete(l.ends, x)
		l.mu.Unlock()
		cancel()
	}
}

// CancelExpired ends what should have ended by now, after a suspension; it returns how many there were.
func (l *Deadlines) CancelExpired(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for x := range l.ends {
		if !now.Before(x.at) {
			x.cancel()
			delete(l.ends, x)
			n++
		}
	}
	return n
}

// Boot returns the time since the machine was started, its suspensions included, noticed or not.
func (Real) BootNow() time.Time { return time.Time{}.Add(readClock(unix.CLOCK_BOOTTIME)) }

// BootClock is a Clock that knows the time since the machine was started.
type BootClock interface {
	// BootNow returns it as a time, for spans only.
	BootNow() time.Time
}

// BootNow returns a time for spans that go on while the machine is suspended, also before anybody has noticed that it was.
func BootNow(c Clock) time.Time {
	if b, ok := c.(BootClock); ok {
		return b.BootNow()
	}
	return c.Now()
}
