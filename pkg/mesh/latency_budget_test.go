package mesh

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/budget"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// reserveSite returns a site of two nodes. A run of outer at the first makes four calls of inner at the second, of 20 ms each, and
// the function returned with it lists the reserves that the second node has received since the last time.
func reserveSite(t *testing.T) (*site, func() []budget.Reserve) {
	s := newSite(t)
	_, f := s.add("a", "z", 20)
	f.calls = []string{"/inner/x", "/inner/x", "/inner/x", "/inner/x"}
	s.seeds = []string{s.at(f.ip, 2)}
	_, g := s.add("b", "z", 20)
	g.workTime = 20 * time.Millisecond
	var mu sync.Mutex
	var got []budget.Reserve
	g.handle = func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerReserve) != "" {
			t.Error("the server received the nodes' header")
		}
		time.Sleep(g.workTime)
	}
	s.nodes[1].halt()
	n := s.newNode(1)
	next := n.servers[0].Handler
	n.servers[0].Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerCall) != "" {
			mu.Lock()
			got = append(got, budget.Parse(r.Header.Get(headerReserve)))
			mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
	qt.New(t).Assert(n.Start(t.Context()), qt.IsNil)
	s.nodes[1] = n
	s.heartbeat(1, false)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("outer", desired.Repeatable, "a"), route("inner", desired.Repeatable, "b")}})
	s.waitUntilKnown(1)
	first := s.nodes[0]
	first.enqueueAndWait(t.Context(), func() { // otherwise it takes requests of clients at both nodes to tell
		r := &first.control.internalRoutes
		r.set("inner", true)
		r.restoredUntil = map[string]time.Time{"inner": time.Now().Add(time.Hour)}
	})
	return s, func() []budget.Reserve {
		mu.Lock()
		defer mu.Unlock()
		out := got
		got = nil
		return out
	}
}

// Guards against reserves that don't reach the gate of the called server, or that reach a server.
func TestCallsCarryTheReserveOfTheirRun(t *testing.T) {
	c := qt.New(t)
	s, reserves := reserveSite(t)
	i := 0
	send := func(left time.Duration) int {
		i++
		status, _, _ := s.request(0, http.MethodGet, "/outer/x", fmt.Sprint("r", i), left)
		return status
	}
	s.waitFor("the calls are learned", func() bool {
		reserves()
		c.Assert(send(2*time.Second), qt.Equals, http.StatusOK)
		got := reserves()
		return len(got) == 4 && got[0].Calls > 2.5 && got[0].Calls < 3.5
	})
	reserves()
	c.Assert(send(2*time.Second), qt.Equals, http.StatusOK)
	got := reserves()
	c.Assert(got, qt.HasLen, 4)
	for k, r := range got[:3] {
		c.Check(r.Time > time.Duration(3-k)*15*time.Millisecond && r.Time < time.Duration(3-k)*60*time.Millisecond, qt.IsTrue, qt.Commentf("call %d: %v", k, r))
	}
	c.Check(got[3].Time < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got[3]))
}

// Guards against headers from outside: only nodes state a reserve.
func TestClientsCantSetAReserve(t *testing.T) {
	c := qt.New(t)
	out := endToEndHeaders(http.Header{headerReserve: {"500,2"}, "X-Other": {"1"}})
	c.Assert(out, qt.DeepEquals, http.Header{"X-Other": {"1"}})
	r, err := parseReply(peerReply{Outcome: wire.Ran, ReadsReserve: true}.encode())
	c.Assert(err, qt.IsNil)
	c.Assert(r.ReadsReserve, qt.IsTrue)
	n := &Node{}
	c.Assert(n.overloadReason(gate.Decision{Reason: wire.ReasonDeadline}, false), qt.Equals, wire.ReasonDeadline)
	c.Assert(n.overloadReason(gate.Decision{Reason: wire.ReasonDeadline}, true), qt.Equals, wire.ReasonQueue)
}
