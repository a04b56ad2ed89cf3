package mesh

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// mostAtOnce returns how many requests a server of 20 slots had at once, from 2 s on, that goes on when its callers leave: five of six do.
func mostAtOnce(t *testing.T, off ...settings.Mechanism) int64 {
	s := newMemorySite(t)
	s.tune = func(m *settings.Mesh) { m.Off = append(off, settings.RootAdmission) }
	_, f := s.add("a", "z0", 20)
	s.store.put(desiredReads("a"))
	s.waitUntilKnown(1)
	time.Sleep(startupWait)
	var running, most atomic.Int64
	begun := time.Now()
	f.handle = func(w http.ResponseWriter, _ *http.Request) {
		n := running.Add(1)
		for m := most.Load(); n > m && time.Since(begun) > 2*time.Second && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(600 * time.Millisecond)
		w.Header().Set(testNames.Advertised.Load, fmt.Sprintf("%d,0,20,100", running.Load()))
		running.Add(-1)
	}
	var clients sync.WaitGroup
	for i := 0; time.Since(begun) < 5*time.Second; i++ {
		left := 400 * time.Millisecond
		if i%6 == 0 {
			left = 2 * time.Second
		}
		clients.Go(func() { s.request(0, http.MethodGet, "/read/x", fmt.Sprint("q", i), left) })
		time.Sleep(15 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Second)
	return most.Load()
}

// A server that goes on when the caller has left got further requests beyond its slots, and drops what it can't queue.
func TestServerGetsNoMoreThanItsSlotsWhenCallersLeave(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		off    []settings.Mechanism
		within bool
	}{{nil, true}, {[]settings.Mechanism{settings.HeldSlots}, false}} {
		synctest.Test(t, func(t *testing.T) {
			most := mostAtOnce(t, x.off...)
			t.Logf("off %v: %d at once", x.off, most)
			qt.Check(t, most <= 20, qt.Equals, x.within)
		})
	}
}
