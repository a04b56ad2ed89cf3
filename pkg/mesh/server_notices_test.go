package mesh

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
