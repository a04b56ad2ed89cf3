package mesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// sendPipelined sends the requests on one connection to the first node, and returns a function that returns the id of the next answer.
func (s *site) sendPipelined(c *qt.C, paths ...string) func() string {
	nc, err := net.Dial("tcp", s.servers[0].outboundAddr)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = nc.Close() })
	c.Assert(nc.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	for i, p := range paths {
		_, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: h\r\n%s: q%d\r\n%s: 9000\r\n\r\n", p, testNames.AttemptID, i, testNames.TimeLeft)
		c.Assert(err, qt.IsNil)
	}
	r := bufio.NewReader(nc)
	return func() string {
		res, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, res.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(res.StatusCode, qt.Equals, http.StatusOK)
		return res.Header.Get(testNames.AttemptID)
	}
}

// Guards against pipelined reads that are served one after the other, and against a request that may run at most once before the answers
// ahead of it.
func TestPipelinedReadsRunConcurrentlyAndOnceOnlyRequestsWait(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	begun, release := make(chan string, 10), make(chan struct{})
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		if strings.HasPrefix(r.URL.Path, "/read/") {
			<-release
		}
	})
	next := s.sendPipelined(c, "/read/0", "/read/1", "/pay/2", "/read/3")
	for range 2 {
		c.Assert(<-begun, qt.Matches, "/read/[01]")
	}
	select {
	case p := <-begun:
		c.Fatalf("%s ran", p)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	for i := range 4 {
		c.Assert(next(), qt.Equals, fmt.Sprintf("q%d", i))
	}
	var text strings.Builder
	s.nodes[0].metrics.writeText(&text)
	c.Assert(text.String(), qt.Contains, "pipelined_requests_total 1\n")
}

// Guards against the mechanism having an effect while it is off.
func TestPipelinedRequestsAreServedInTurnWhenSwitchedOff(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.tune = func(m *settings.Mesh) { m.Off = []settings.Mechanism{settings.Pipelining} }
	s.store.put(desiredReads("a"))
	s.add("a", "z", 10)
	s.waitUntilKnown(1)
	next := s.sendPipelined(c, "/read/0", "/read/1")
	c.Assert(next()+next(), qt.Equals, "q0q1")
	c.Assert(s.nodes[0].pipelined, qt.IsNil)
}
