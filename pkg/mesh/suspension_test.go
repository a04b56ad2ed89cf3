package mesh

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
)

// suspendableClock is the clock of a VM that can be suspended. Its steady time and timers stand still meanwhile; the boot time shows
// the suspension.
type suspendableClock struct {
	clock.Real
	suspended, noted atomic.Int64 // nanoseconds
}

// Now returns the steady time plus the suspensions noted so far.
func (k *suspendableClock) Now() time.Time { return time.Now().Add(time.Duration(k.noted.Load())) }

// BootNow returns the time including suspensions.
func (k *suspendableClock) BootNow() time.Time {
	return time.Now().Add(time.Duration(k.suspended.Load()))
}

// NewTicker returns a ticker made of function timers. The race detector crashes on channel timers in a synctest bubble: when several
// goroutines look at channel timers that are due at the same instant, the runtime runs them concurrently in one detector context.
func (k *suspendableClock) NewTicker(d time.Duration) (<-chan time.Time, func()) {
	c := make(chan time.Time, 1)
	var t *time.Timer
	var stopped atomic.Bool
	made := make(chan struct{})
	t = time.AfterFunc(d, func() {
		<-made
		if stopped.Load() {
			return
		}
		t.Reset(d)
		select {
		case c <- time.Now():
		default: // like any ticker, it drops ticks for a slow receiver
		}
	})
	close(made)
	return c, func() {
		stopped.Store(true)
		t.Stop()
	}
}

// DetectSuspension returns the suspension time that wasn't noted yet.
func (k *suspendableClock) DetectSuspension() time.Duration {
	total := k.suspended.Load()
	return time.Duration(total - k.noted.Swap(total))
}

// clockOf returns the clock of a VM. On a network within the process it counts simulated time.
func (s *site) clockOf(ip string) clock.Clock {
	if k := s.clocks[ip]; k != nil {
		return k
	}
	if s.network != nil {
		return &suspendableClock{}
	}
	return clock.Real{}
}

// newSuspendableSite returns a site of one VM, and its clock.
func newSuspendableSite(t *testing.T) (*site, *suspendableClock) {
	s := newMemorySite(t)
	k := &suspendableClock{}
	s.clocks = map[string]*suspendableClock{s.base + "1": k}
	s.add("a", "z0", 10)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
	s.waitUntilKnown(1)
	return s, k
}

// A VM was suspended while the desired state changed. By its steady clock, the state in force had just been known to be the newest, so
// requests were served by the old state for as long as the suspension and longer.
func TestSuspensionMakesStateFreshnessUncertain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newMemorySite(t)
		s.clocks = map[string]*suspendableClock{s.base + "2": {}}
		for i := range 3 {
			s.add("a", fmt.Sprint("z", i), 10)
		}
		s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
		s.waitUntilKnown(1)
		n := s.nodes[1]
		c.Assert(n.stateIsFresh(), qt.IsTrue)
		s.store.setDown(true)
		for i := range s.nodes {
			if i != 1 {
				s.nodes[i].halt() // it receives no updates
			}
		}
		time.Sleep(200 * time.Millisecond)
		s.clocks[s.base+"2"].suspended.Add(int64(20 * time.Second))
		time.Sleep(2 * tickPeriod)
		c.Assert(n.stateIsFresh(), qt.IsFalse)
	})
}

// Requests in flight end when their client's time limit is over, not later by the length of the suspension.
func TestRequestsExpireWhileVMIsSuspended(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, k := newSuspendableSite(t)
		s.handleAll(func(_ *fakeServer, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		answered := make(chan time.Duration)
		begun := time.Now()
		go func() {
			status, _, _ := s.request(0, http.MethodGet, "/read/x", "q", 3*time.Second)
			c.Check(status, qt.Equals, http.StatusGatewayTimeout)
			answered <- time.Since(begun)
		}()
		time.Sleep(time.Second)
		k.suspended.Add(int64(10 * time.Second))
		took := <-answered
		c.Assert(took < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v by the steady clock", took))
		// The run counts as three seconds, not eleven: a request with a limit of four isn't refused as too late.
		status, _, _ := s.request(0, http.MethodGet, "/read/x", "r", 4*time.Second)
		c.Assert(status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("the next one has all of its time"))
		c.Assert(time.Since(begun)-took > 3900*time.Millisecond, qt.IsTrue)
	})
}

// Connections that were idle during a suspension aren't used again: the other ends have given them up, and a once-only request would be lost on
// them.
func TestIdleConnectionsAreDroppedAfterSuspension(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, k := newSuspendableSite(t)
		status, _, _ := s.request(0, http.MethodGet, "/read/x", "q", time.Second)
		c.Assert(status, qt.Equals, http.StatusOK)
		c.Assert(s.nodes[0].backend.pool.OpenCount(), qt.Equals, 1)
		k.suspended.Add(int64(2 * time.Second))
		time.Sleep(2 * tickPeriod)
		c.Assert(s.nodes[0].backend.pool.OpenCount(), qt.Equals, 0)
	})
}
