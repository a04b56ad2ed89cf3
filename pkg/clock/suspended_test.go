package clock

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// CancelExpired must cancel exactly the contexts whose deadlines have passed, and deadlines of finished work must not be retained.
func TestCancelExpiredDeadlines(t *testing.T) {
	c := qt.New(t)
	k := NewManual(time.Unix(1000, 0))
	var l Deadlines
	first, endFirst := l.Context(context.Background(), k, k.Now().Add(time.Minute))
	second, endSecond := l.Context(context.Background(), k, k.Now().Add(time.Hour))
	defer endSecond()
	k.Advance(2 * time.Minute)
	c.Assert(l.CancelExpired(k.Now()), qt.Equals, 1)
	c.Assert(first.Err(), qt.IsNotNil)
	c.Assert(second.Err(), qt.IsNil)
	endFirst()
	c.Assert(l.open, qt.HasLen, 1)
}

// unknownClock is the number of no clock. A negative one would be the processor time of a process, which exists or not.
const unknownClock = 1000

// No suspension must be detected while the machine runs, nor from a clock that can't be read.
func TestRunningMachineShowsNoSuspension(t *testing.T) {
	c := qt.New(t)
	c.Assert(DetectSuspension(Real{}), qt.Equals, time.Duration(0))
	c.Assert(DetectSuspension(NewManual(time.Time{})), qt.Equals, time.Duration(0))
	c.Assert(readClock(unknownClock) == 0, qt.IsTrue)
	before := Real{}.Now()
	c.Assert(Real{}.Now().Sub(before) < time.Second, qt.IsTrue)
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Real{}.Now()
	}
}

func BenchmarkDeadlines(b *testing.B) {
	var l Deadlines
	for b.Loop() {
		_, cancel := l.Context(context.Background(), Real{}, Real{}.Now().Add(time.Minute))
		cancel()
	}
}

func BenchmarkContextWithDeadline(b *testing.B) {
	for b.Loop() {
		_, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Minute))
		cancel()
	}
}
