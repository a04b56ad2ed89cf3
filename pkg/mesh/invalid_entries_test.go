package mesh

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// stateWithInvalidEntries returns a state with a valid route, one of an unknown kind and two that can't be used.
func stateWithInvalidEntries(version int64) desired.State {
	odd := route("odd", 0, "a")
	odd.KindName = "newer"
	empty := route("empty", desired.Repeatable, "a")
	empty.Targets = nil
	return desired.State{Version: version, Routes: []desired.Route{
		route("read", desired.Repeatable, "a"), odd, empty, {Name: "bad", Host: "h", Prefix: "/bad/", Unusable: true},
	}}
}

// A mesh with one route of an unknown kind served nothing. The rules must be the same for the first state and for a later one.
func TestInvalidEntriesAffectOnlyThemselves(t *testing.T) {
	t.Parallel()
	for name, later := range map[string]bool{"first state": false, "later state": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testInvalidEntries(t, later) })
		})
	}
}

func testInvalidEntries(t *testing.T, later bool) {
	c := qt.New(t)
	s := newMemorySite(t)
	for i := range 2 {
		s.add("a", fmt.Sprint("z", i), 10)
	}
	version := int64(1)
	if later {
		s.put(1)
		s.waitUntilKnown(1)
		version = 2
	}
	s.store.put(stateWithInvalidEntries(version))
	s.waitUntilKnown(version)
	status, _, _ := s.request(0, http.MethodGet, "/read/x", "r", time.Second)
	c.Check(status, qt.Equals, http.StatusOK)
	for _, path := range []string{"/empty/x", "/bad/x"} {
		status, _, h := s.request(0, http.MethodGet, path, "b"+path[1:2], time.Second)
		c.Check(status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(h.Get("Retry-After"), qt.Not(qt.Equals), "")
		c.Check(h.Get(wire.HeaderReason), qt.Equals, string(wire.ReasonInvalidEntry))
	}
	c.Check(s.allRan(), qt.HasLen, 1)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) { closeConnection(w) })
	status, _, _ = s.request(0, http.MethodGet, "/odd/x", "o", time.Second)
	c.Check(status, qt.Equals, http.StatusBadGateway)
	c.Check(s.allRan(), qt.HasLen, 2, qt.Commentf("a request of an unknown kind was sent again after a lost answer"))
	c.Check(s.nodes[0].Dump().Problems, qt.DeepEquals, []desired.Problem{
		{Field: "route odd kind", Value: "newer", Msg: "is unknown", Effect: desired.ServedOnce},
		{Field: "route empty service", Msg: "must be set", Effect: desired.NotServed},
	})
	var text strings.Builder
	s.nodes[0].updateGauges()
	s.nodes[0].metrics.writeText(&text)
	c.Check(text.String(), qt.Contains, `state_problems{effect="served-once"} 1`)
}
