package mesh

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// One server may have run a read before its answer was lost, and the next one refused it. The client's answer said that
// the read hadn't run.
func TestRefusalAfterLostAnswerIsNotReportedAsNotRun(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	var n atomic.Int64
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) {
		if n.Add(1) == 1 {
			closeConnection(w)
			return
		}
		w.Header().Set(testNames.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	status, _, h := s.request(0, http.MethodGet, "/read/x", "g", time.Second)
	c.Assert(n.Load() >= 2, qt.IsTrue)
	c.Assert(status, qt.Equals, http.StatusBadGateway)
	c.Assert(h.Get("Retry-After"), qt.Equals, "")
}

// The client and the logs get the reason that the tried servers gave.
func TestClientGetsReasonOfLastRefusal(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	for i := range s.nodes {
		s.nodes[i].gateMu.Lock()
		s.nodes[i].gate.Close()
		s.nodes[i].gateMu.Unlock()
	}
	status, _, h := s.request(0, http.MethodPost, "/pay/x", "p", time.Second)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(h.Get(wire.HeaderReason), qt.Equals, string(wire.ReasonLeaving))
	c.Assert(s.allRan(), qt.HasLen, 0)
}
