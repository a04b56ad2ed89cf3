package mesh

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// advertise makes all servers answer with the given headers, by pairs of name and value.
func (s *site) advertise(pairs ...string) {
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(pairs); i += 2 {
			w.Header().Add(pairs[i], pairs[i+1])
		}
		fmt.Fprint(w, "done")
	})
}

// Logs and metrics tell what a server advertises, and its headers reach the client as they are.
func TestLogsTellWhatServersAdvertise(t *testing.T) {
	c := qt.New(t)
	log := &logBuffer{}
	s := newThreeServerSite(t)
	s.logTo(log)
	names := testNames.Advertised
	s.advertise(names.RateLimit, "1000.5")
	status, _, h := s.request(0, http.MethodGet, "/read/x", "limited", time.Second)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(h.Get(names.RateLimit), qt.Equals, "1000.5")
	c.Assert(hasLine(log.lines(c), "call: rate limit of the local backend server changed", "limit", "1000.5"), qt.IsTrue)
	s.advertise()
	for i := range 3 {
		s.request(i, http.MethodGet, "/read/x", fmt.Sprint("unlimited", i), time.Second)
	}
	c.Assert(hasLine(log.lines(c), "call: rate limit of the local backend server changed", "limit", "none"), qt.IsTrue)
	s.advertise(names.Leaving, "1")
	_, _, h = s.request(0, http.MethodGet, "/read/x", "leaving", time.Second)
	c.Assert(h.Get(names.Leaving), qt.Equals, "1")
	c.Assert(hasLine(log.lines(c), "call: local backend server is leaving by its answer", "request", "leaving"), qt.IsTrue)
}

func TestUnusableHeadersOfServersAreLoggedOnceAndHaveNoEffect(t *testing.T) {
	c := qt.New(t)
	log := &logBuffer{}
	s := newSite(t)
	s.add("a", "z", 10)
	s.logTo(log)
	s.store.put(desiredReads("a"))
	s.waitUntilKnown(1)
	names := testNames.Advertised
	for i, pairs := range [][]string{
		{names.RateLimit, "-1"},
		{names.RateLimit, "NaN"},
		{names.RateLimit, "1e9"},
		{names.RateLimit, strings.Repeat("9", 400)},
		{names.RateLimit, "1", names.RateLimit, "2"},
		{names.Leaving, "later"},
	} {
		s.advertise(pairs...)
		for k := range 3 {
			status, _, h := s.request(0, http.MethodGet, "/read/x", fmt.Sprint(i, ".", k), time.Second)
			c.Assert(status, qt.Equals, http.StatusOK)
			c.Assert(h.Values(pairs[0])[0], qt.Equals, pairs[1])
		}
	}
	logged := 0
	for _, l := range log.lines(c) {
		if l.Msg == "call: invalid header of the local backend server" {
			logged++
		}
	}
	c.Assert(logged, qt.Equals, 4, qt.Commentf("no number, too long, more than one, and the other header"))
	c.Assert(metricsText(s.nodes[0]), qt.Contains, "rockspoke_server_headers_invalid_total 18")
	c.Assert(s.nodes[0].backend.notices.limit.Limit().Advertised, qt.IsFalse)
}

// newServerAndClientSite returns a site with a server of service a at the first node; the second node sends requests to it.
func newServerAndClientSite(t *testing.T) *site {
	s := newSite(t)
	s.add("a", "z", 10)
	s.add("b", "z", 10)
	s.store.put(desiredReads("a"))
	s.waitUntilKnown(1)
	return s
}

// newLimitedServerSite returns a site of one server whose answers say what the returned function sets: status, body and the
// rate limit.
func newLimitedServerSite(t *testing.T) (s *site, answer func(status int, limit string)) {
	return limitServerOf(newSite(t))
}

// limitServerOf makes it of a site without nodes.
func limitServerOf(s *site) (_ *site, answer func(status int, limit string)) {
	s.add("a", "z", 10)
	s.store.put(desiredReads("a"))
	s.waitUntilKnown(1)
	return s, func(status int, limit string) {
		s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) {
			if limit != "" {
				w.Header().Set(testNames.Advertised.RateLimit, limit)
			}
			w.WriteHeader(status)
		})
	}
}

// limitInForce returns the rate limit at a node's gate.
func (s *site) limitInForce(i int) string {
	n := s.nodes[i]
	n.gateMu.Lock()
	defer n.gateMu.Unlock()
	return n.gate.RateLimit(n.clock.Now()).Limit.String()
}

// Every whole answer that belongs to its request speaks for the server, a failure and a refusal too. A broken one, one of
// another request and one of another server don't end a limit.
func TestOnlyWholeAnswersOfTheServerEndItsRateLimit(t *testing.T) {
	c := qt.New(t)
	s, answer := newLimitedServerSite(t)
	ask := func(id string) int {
		status, _, _ := s.request(0, http.MethodGet, "/read/x", id, time.Second)
		return status
	}
	limited := func(id string) {
		answer(http.StatusOK, "500")
		c.Assert(ask(id), qt.Equals, http.StatusOK)
		c.Assert(s.limitInForce(0), qt.Equals, "500")
	}
	for name, handle := range map[string]func(w http.ResponseWriter){
		"broken": func(w http.ResponseWriter) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: broken\r\nContent-Length: 9\r\n\r\nhalf", testNames.AttemptID)
			conn.Close()
		},
		"of another request": func(w http.ResponseWriter) { w.Header().Set(testNames.AttemptID, "other") },
		"of another server":  func(w http.ResponseWriter) { w.WriteHeader(http.StatusMisdirectedRequest) },
		"without an id": func(w http.ResponseWriter) {
			w.Header().Del(testNames.AttemptID)
			w.Header().Set(testNames.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		limited("before " + name)
		s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) { handle(w) })
		c.Assert(ask("broken") != http.StatusOK, qt.IsTrue, qt.Commentf("%s", name))
		c.Assert(s.limitInForce(0), qt.Equals, "500", qt.Commentf("%s", name))
	}
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		limited(fmt.Sprint("limited", status))
		answer(status, "")
		ask(fmt.Sprint("end", status))
		c.Assert(s.limitInForce(0), qt.Equals, "none", qt.Commentf("%d", status))
	}
	limited("before refusal")
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testNames.NotRun, "1")
		w.Header().Set(testNames.Advertised.RateLimit, "300")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	ask("refused")
	c.Assert(s.limitInForce(0), qt.Equals, "300")
}

// A refusal for the rate limit differs from others in its reason, the logs and the metrics, and has a Retry-After.
func TestRefusalForTheRateLimitIsExplained(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := &logBuffer{}
		s, answer := limitServerOf(newMemorySite(t))
		s.logTo(log)
		answer(http.StatusOK, "0.2")
		s.request(0, http.MethodGet, "/read/x", "first", time.Second)
		status, _, h := s.request(0, http.MethodGet, "/read/x", "second", 6*time.Second)
		c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(h.Get(wire.HeaderReason), qt.Equals, string(wire.ReasonRateLimit))
		after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
		c.Assert(err, qt.IsNil)
		c.Assert(after > 0.5 && after <= 2, qt.IsTrue, qt.Commentf("%v s; the gate lets one through each second", after))
		lines := log.linesOf(c, "second")
		c.Assert(hasLine(lines, "call: local backend server is at its rate limit", "limit", "0.2"), qt.IsTrue)
		c.Assert(hasLine(lines, "call: no server within its rate limit is left", "servers", "1"), qt.IsTrue)
		c.Assert(hasLine(lines, "call: not served", "reason", "rate-limit"), qt.IsTrue)
		text := metricsText(s.nodes[0])
		c.Assert(text, qt.Contains, `rockspoke_arrivals_total{service="a",outcome="not-run",reason="rate-limit"} 1`)
		c.Assert(text, qt.Contains, "rockspoke_server_rate_limit 200")
	})
}

// A limit that the server's node has forgotten in a restart comes back with the next request of a node that knows it, and ends
// with the server's next answer.
func TestRateLimitOutlivesTheNodeBesideTheServer(t *testing.T) {
	c := qt.New(t)
	s := newServerAndClientSite(t)
	names := testNames.Advertised
	s.advertise(names.RateLimit, "400")
	s.request(1, http.MethodGet, "/read/x", "told", time.Second)
	s.nodes[0].halt()
	s.start(0)
	s.waitUntilKnown(1)
	c.Assert(s.limitInForce(0), qt.Equals, "none")
	inForce := make(chan string, 1)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) { inForce <- s.limitInForce(0) })
	s.waitFor("the node is reached again", func() bool {
		status, _, _ := s.request(1, http.MethodGet, "/read/x", "again", time.Second)
		return status == http.StatusOK
	})
	c.Assert(<-inForce, qt.Equals, "400")
	c.Assert(s.limitInForce(0), qt.Equals, "none")
}

// The next lifetime of a server at the same address has no limit and isn't leaving until it says so.
func TestNextLifetimeStartsWithoutNotices(t *testing.T) {
	c := qt.New(t)
	s := newServerAndClientSite(t)
	names := testNames.Advertised
	s.advertise(names.RateLimit, "400", names.Leaving, "1")
	s.request(1, http.MethodGet, "/read/x", "told", time.Second)
	status, _, _ := s.request(1, http.MethodGet, "/read/x", "refused", 300*time.Millisecond)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	s.advertise()
	s.servers[0].instance += "-next"
	s.heartbeat(0, false)
	s.waitFor("the next lifetime is served", func() bool {
		status, _, _ := s.request(1, http.MethodGet, "/read/x", "next", time.Second)
		return status == http.StatusOK
	})
	c.Assert(s.limitInForce(0), qt.Equals, "none")
}

// The answer of a server that was leaving arrives after the next one has started at its address. It closed the gate before the
// next one for good.
func TestLateAnswerOfAnEarlierLifetimeDoesntCloseTheGate(t *testing.T) {
	c := qt.New(t)
	s := newServerAndClientSite(t)
	begun, proceed := make(chan struct{}), make(chan struct{})
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-proceed
		w.Header().Set(testNames.Advertised.RateLimit, "3")
		w.Header().Set(testNames.Advertised.Leaving, "1")
	})
	late := make(chan int)
	go func() {
		status, _, _ := s.request(1, http.MethodGet, "/read/x", "late", 5*time.Second)
		late <- status
	}()
	<-begun
	s.servers[0].instance += "-next"
	s.heartbeat(0, false)
	s.waitFor("the next lifetime is known", func() bool {
		list := s.nodes[1].view.Load().services["a"]
		return len(list) == 1 && list[0].knownServer().Instance == s.servers[0].instance
	})
	close(proceed)
	c.Assert(<-late, qt.Equals, http.StatusOK)
	s.advertise()
	for i := range 10 {
		status, _, _ := s.request(1, http.MethodGet, "/read/x", fmt.Sprint("next", i), time.Second)
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	c.Assert(s.limitInForce(0), qt.Equals, "none")
}
