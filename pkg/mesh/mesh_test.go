package mesh

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

func TestRequestsReachTheServiceOfTheirRouteFromEveryNode(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	for i := range 4 {
		s.add([]string{"a", "b"}[i%2], "z", 10)
	}
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("ra", desired.Repeatable, "a"), route("rb", desired.AtMostOnce, "b")}})
	s.waitUntilKnown(1)
	for i := range s.nodes {
		status, body, _ := s.request(i, http.MethodGet, "/ra/x", fmt.Sprint("g", i), time.Second)
		c.Assert(status, qt.Equals, 200)
		c.Assert(body, qt.Equals, fmt.Sprintf("a g%d", i))
		status, body, _ = s.request(i, http.MethodPost, "/rb/x", fmt.Sprint("p", i), time.Second)
		c.Assert(status, qt.Equals, 200)
		c.Assert(body, qt.Equals, fmt.Sprintf("b p%d", i))
	}
	status, _, _ := s.request(0, http.MethodGet, "/other/x", "n", time.Second)
	c.Assert(status, qt.Equals, 404)
}

// BenchmarkDeepChain measures whole requests through three services on five nodes.
func BenchmarkDeepChain(b *testing.B) {
	s := newSite(b)
	for _, service := range []string{"top", "mid", "mid", "low", "low"} {
		s.add(service, "z", 200)
	}
	s.servers[0].calls = []string{"/mid/x"}
	for i := 1; i < 3; i++ {
		s.servers[i].calls = []string{"/low/x", "/low/x", "/low/x", "/low/x"}
	}
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{
		route("top", desired.Repeatable, "top"), route("mid", desired.Repeatable, "mid"), route("low", desired.Repeatable, "low"),
	}})
	s.waitUntilKnown(1)
	before := cpuTime(b)
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, k := 0, 0
	for range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				mu.Lock()
				k++
				n := k
				mu.Unlock()
				if n > b.N {
					return
				}
				if status, _, _ := s.request(n%5, http.MethodGet, "/top/x", fmt.Sprint(n), 5*time.Second); status == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(served)/float64(b.N), "served/op")
}

// cpuTime returns the CPU time of this process: of the nodes, clients and servers together.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	qt.New(b).Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// A node that had just started knew no servers yet and refused the calls of its local backend server, whose runs then
// failed.
func TestStartingNodeWaitsBeforeRefusing(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.add("b", "z", 10)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("rb", desired.AtMostOnce, "b")}})
	s.waitUntilKnown(1)
	s.store.setDelay(150 * time.Millisecond)
	s.add("a", "z", 10)
	status, body, _ := s.request(1, http.MethodPost, "/rb/x", "p", 3*time.Second)
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
}
