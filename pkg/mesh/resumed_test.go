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

// suspendedClock is the clock of a VM that can be suspended: its steady part stands still meanwhile, and so do its timers; it learns of it
// by the boot clock.
type suspendedClock struct {
	clock.Real
	stood, counted atomic.Int64 // nanoseconds
}

// Now returns the steady time and what is counted of the suspensions.
func (k *suspendedClock) Now() time.Time { return time.Now().Add(time.Duration(k.counted.Load())) }

// Boot returns the time that goes on while the VM is suspended.
func (k *suspendedClock) Boot() time.Time { return time.Now().Add(time.Duration(k.stood.Load())) }

// NewTicker ticks by function timers. The runtime isn't ready for the race detector where goroutines of one bubble of made-up time look at
// channel timers that are due in the same instant: it runs them side by side in one context of the detector, which then crashes.
func (k *suspendedClock) NewTicker(d time.Duration) (<-chan time.Time, func()) {
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
		default: // as with any ticker, what isn't taken in time is lost
		}
	})
	close(made)
	return c, func() {
		stopped.Store(true)
		t.Stop()
	}
}

// NoteSuspension counts what isn't counted yet.
func (k *suspendedClock) NoteSuspension() time.Duration {
	total := k.stood.Load()
	return time.Duration(total - k.counted.Swap(total))
}

// clockOf returns the clock of a VM. That of a site within the process tells made-up time as the time since the start, too.
func (s *site) clockOf(ip string) clock.Clock {
	if k := s.clocks[ip]; k != nil {
		return k
	}
	if s.network != nil {
		return &suspendedClock{}
	}
	return clock.Real{}
}

// suspendableSite is a site of one VM, with its clock.
func suspendableSite(t *testing.T) (*site, *suspendedClock) {
	s := newMemorySite(t)
	k := &suspendedClock{}
	s.clocks = map[string]*suspendedClock{s.base + "1": k}
	s.add("a", "z0", 10)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
	s.settled(1)
	return s, k
}

// A VM was suspended while the desired state changed: by its steady clock the state in force was known to be the newest a moment ago, and requests by the
// old one were served for as long as it had been suspended and more.
func TestAfterASuspensionTheStateIsNotTakenForTheNewest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newMemorySite(t)
		s.clocks = map[string]*suspendedClock{s.base + "2": {}}
		for i := range 3 {
			s.add("a", fmt.Sprint("z", i), 10)
		}
		s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
		s.settled(1)
		n := s.nodes[1]
		c.Assert(n.stateIsFresh(), qt.IsTrue)
		s.store.setDown(true)
		for i := range s.nodes {
			if i != 1 {
				s.nodes[i].halt() // nobody tells it anything
			}
		}
		time.Sleep(200 * time.Millisecond)
		s.clocks[s.base+"2"].stood.Add(int64(20 * time.Second))
		time.Sleep(2 * tickPeriod)
		c.Assert(n.stateIsFresh(), qt.IsFalse)
	})
}

// What was in progress is ended by the time that its client had, not later by as long as the VM was suspended.
func TestRequestsLapseWhileAVMIsSuspended(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, k := suspendableSite(t)
		s.handleAll(func(_ *fakeServer, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		answered := make(chan time.Duration)
		begun := time.Now()
		go func() {
			status, _, _ := s.ask(0, http.MethodGet, "/read/x", "q", 3*time.Second)
			c.Check(status, qt.Equals, http.StatusGatewayTimeout)
			answered <- time.Since(begun)
		}()
		time.Sleep(time.Second)
		k.stood.Add(int64(10 * time.Second))
		took := <-answered
		c.Assert(took < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v by the steady clock", took))
		// The run counts as one of three seconds, not of eleven: one that has four isn't refused as too late.
		status, _, _ := s.ask(0, http.MethodGet, "/read/x", "r", 4*time.Second)
		c.Assert(status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("the next one has all of its time"))
		c.Assert(time.Since(begun)-took > 3900*time.Millisecond, qt.IsTrue)
	})
}

// Connections that rested while the VM was suspended aren't used again: the other sides have given them up, and a request that may run once would be lost on them.
func TestConnectionsAreLeftAfterASuspension(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, k := suspendableSite(t)
		status, _, _ := s.ask(0, http.MethodGet, "/read/x", "q", time.Second)
		c.Assert(status, qt.Equals, http.StatusOK)
		c.Assert(s.nodes[0].backend.pool.Open(), qt.Equals, 1)
		k.stood.Add(int64(2 * time.Second))
		time.Sleep(2 * tickPeriod)
		c.Assert(s.nodes[0].backend.pool.Open(), qt.Equals, 0)
	})
}
