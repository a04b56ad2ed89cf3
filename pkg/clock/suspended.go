package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspended is the total time in nanoseconds of the machine's suspensions that were detected since the process started.
var suspended atomic.Int64

// totalSuspension returns how far the boot clock, which advances while the machine is suspended, is ahead of the monotonic clock, which
// doesn't.
func totalSuspension() time.Duration {
	return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC)
}

// suspensionAtStart is totalSuspension when the process started.
var suspensionAtStart = totalSuspension()

// readClock returns the time of a system clock, or 0 if it can't be read.
func readClock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// minSuspension is the shortest difference that counts as a suspension: the two clocks are read one after the other, so they may differ by
// a little without one.
const minSuspension = 50 * time.Millisecond

// DetectSuspension returns how long the machine was suspended since the last call, 0 if it wasn't, and includes that in Now from then on.
func (Real) DetectSuspension() time.Duration {
	total := totalSuspension() - suspensionAtStart
	before := time.Duration(suspended.Load())
	if total-before < minSuspension {
		return 0
	}
	suspended.Store(int64(total))
	return total - before
}

// SuspensionDetector is a Clock whose monotonic time stops while the machine is suspended.
type SuspensionDetector interface {
	// DetectSuspension returns how long the machine was suspended since the last call, and includes that in Now from then on.
	DetectSuspension() time.Duration
}

// DetectSuspension calls the clock's DetectSuspension, or returns 0 if it has none.
func DetectSuspension(c Clock) time.Duration {
	if s, ok := c.(SuspensionDetector); ok {
		return s.DetectSuspension()
	}
	return 0
}

// BootNow returns the time since the machine was booted, including all suspensions, detected or not, as a time after the zero time.
func (Real) BootNow() time.Time { return time.Time{}.Add(readClock(unix.CLOCK_BOOTTIME)) }

// BootClock is a Clock that knows the time since the machine was booted.
type BootClock interface {
	// BootNow returns that as a time after the zero time, for measuring durations only.
	BootNow() time.Time
}

// BootNow returns a time for measuring durations that include suspensions of the machine, even ones not yet detected. A clock without a
// boot clock gives its Now.
func BootNow(c Clock) time.Time {
	if b, ok := c.(BootClock); ok {
		return b.BootNow()
	}
	return c.Now()
}
