package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/admission"
	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// TestLockedGateWithConcurrentCalls runs calls through the gate in virtual time: each gets a verdict, no more than the
// limit run at once, and a queued call whose context is canceled never starts.
func TestLockedGateWithConcurrentCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newLockedGate(admission.NewGate(admission.Settings{Slots: 2, MaxQueued: 10, MaxSojourn: time.Second}, time.Now()))
		done := make(chan wire.Reason, 10)
		for range 6 {
			go func() {
				now := time.Now()
				reason := k.enter(context.Background(), now, priority.Floor(2), now.Add(time.Minute))
				if reason == wire.ReasonNone {
					time.Sleep(10 * time.Millisecond)
					k.done(time.Now(), 10*time.Millisecond, 10*time.Millisecond, true)
				}
				done <- reason
			}()
		}
		synctest.Wait()
		r := k.read(time.Now())
		c.Assert(r.Running, qt.Equals, 2)
		c.Assert(r.Queued, qt.Equals, 4)
		ctx, cancel := context.WithCancel(context.Background())
		left := make(chan wire.Reason)
		go func() { left <- k.enter(ctx, time.Now(), priority.Floor(1), time.Now().Add(time.Minute)) }()
		synctest.Wait()
		cancel()
		c.Assert(<-left, qt.Equals, wire.ReasonDeadline)
		for range 6 {
			c.Assert(<-done, qt.Equals, wire.ReasonNone)
		}
		c.Assert(k.read(time.Now()).Running, qt.Equals, 0)
	})
}

func TestLatencyFloorIsTheMinimumOfRecentAnswers(t *testing.T) {
	c := qt.New(t)
	var table latencyFloorTable
	at := time.Unix(1_000_000, 0)
	c.Assert(table.floor("r"), qt.Equals, time.Duration(0))
	table.observe(at, "r", 30*time.Millisecond)
	table.observe(at, "r", 20*time.Millisecond)
	c.Assert(table.floor("r"), qt.Equals, 20*time.Millisecond)
	table.observe(at.Add(latencyWindow), "r", 50*time.Millisecond)
	c.Assert(table.floor("r"), qt.Equals, 20*time.Millisecond, qt.Commentf("the previous window still counts"))
	table.observe(at.Add(3*latencyWindow), "r", 50*time.Millisecond)
	c.Assert(table.floor("r"), qt.Equals, 50*time.Millisecond)
}
