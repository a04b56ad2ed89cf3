package mesh

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

const (
	// requestsPerSecond is the request rate at each node, and requestTimeLimit the time limit of each request.
	requestsPerSecond = 100
	requestTimeLimit  = 4 * time.Second
	// maxPromptTime is the longest time of an answer that doesn't count as late.
	maxPromptTime = 400 * time.Millisecond
)

// newUnresponsiveConnSite returns a site where the nodes of one service, which makes no calls, send all their requests to the nodes of another.
func newUnresponsiveConnSite(t *testing.T) *site {
	s := newMemorySite(t)
	for i := range 3 {
		s.add("front", fmt.Sprint("z", i), 50)
	}
	for i := range 3 {
		_, f := s.add("a", fmt.Sprint("z", i), 50)
		f.workTime = 30 * time.Millisecond
	}
	read := route("read", desired.Repeatable, "a")
	read.MaxAttempts = 2
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{read, route("pay", desired.AtMostOnce, "a")}})
	s.waitUntilKnown(1)
	return s
}

// requestOutcomes counts the outcomes of requests while connections became unresponsive.
type requestOutcomes struct {
	mu           sync.Mutex
	late, failed int
	longest      time.Duration
}

// record counts the outcome of a request with the given status and duration.
func (k *requestOutcomes) record(status int, took time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case status != http.StatusOK:
		k.failed++
	case took > maxPromptTime:
		k.late++
	}
	k.longest = max(k.longest, took)
}

// runWithUnresponsiveConns sends requests to the front nodes for six seconds; after two seconds the open connections to the
// addresses for which to returns true become unresponsive.
func runWithUnresponsiveConns(s *site, path string, to func(addr string) bool) *requestOutcomes {
	var k requestOutcomes
	var clients sync.WaitGroup
	begun := time.Now()
	unresponsive := false
	for j := 0; time.Since(begun) < 6*time.Second; j++ {
		if !unresponsive && time.Since(begun) >= 2*time.Second {
			unresponsive = true
			s.network.makeUnresponsive(to)
		}
		for i := range 3 {
			clients.Go(func() {
				sent := time.Now()
				status, _, _ := s.request(i, http.MethodGet, path, fmt.Sprintf("q%d.%d", i, j), requestTimeLimit)
				k.record(status, time.Since(sent))
			})
		}
		time.Sleep(time.Second / requestsPerSecond)
	}
	clients.Wait()
	return &k
}

// unresponsiveConnCases has the connections that become unresponsive and the allowed late and failed requests of 1,800; before is the outcome
// without detection.
var unresponsiveConnCases = []struct {
	name, path   string
	port         int // of the listener
	failed, late int
	before       string
}{
	{"between nodes, repeatable: the peer is queried, and they are sent again", "/read/x", 0, 0, 45, "97 failed, each after its whole time limit"},
	{"between nodes, once-only: one for each connection that rested or was in use", "/pay/x", 0, 45, 0, "98 failed"},
	{"to backend servers, which can't be queried", "/read/x", 4, 45, 0, "89 to 99 failed"},
}

func TestConnectionsBecomeUnresponsive(t *testing.T) {
	t.Parallel()
	for _, x := range unresponsiveConnCases {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newUnresponsiveConnSite(t)
				k := runWithUnresponsiveConns(s, x.path, func(addr string) bool { return strings.HasSuffix(addr, fmt.Sprint(":", s.port+x.port)) })
				t.Logf("late %d, failed %d, longest %v; before: %s", k.late, k.failed, k.longest, x.before)
				c.Check(k.failed <= x.failed, qt.IsTrue)
				c.Check(k.late <= x.late, qt.IsTrue)
				if x.failed == 0 {
					c.Check(k.longest < time.Second, qt.IsTrue)
					var text strings.Builder
					s.nodes[0].metrics.writeText(&text)
					c.Check(text.String(), qt.Contains, "requests_lost_total ")
				}
			})
		})
	}
}
