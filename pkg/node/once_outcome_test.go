package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/repeat"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// onceTest is the node of VM a of a service of two VMs, whose backend server makes once-only calls; the daemon of VM b can't be reached.
type onceTest struct {
	*swapTest
	in *inbound
	q  *request
	t  *config.Treatment
}

// newOnceTest returns the node with a call in progress that has the given key and number of retry tokens.
func newOnceTest(t *testing.T, key string, tokens int) *onceTest {
	c := qt.New(t)
	s := newSwapTest(t)
	s.put(c, 1, "dc=b", "a", "b")
	s.state.merge(exchange{Nodes: []member.NodeInfo{{VM: "b", Incarnation: "0000000000001-abcdefgh"}}})
	s.n.publishSnapshot(s.state)
	s.n.peers = newPeerClients(nil, s.n.keys, nil, s.n.metrics)
	call := wire.Call{RootID: "root", Service: "front", Key: key, RetryTokens: tokens}
	return &onceTest{
		swapTest: s,
		in:       s.n.newInbound(context.Background(), call, time.Now().Add(5*time.Second)),
		q:        &request{method: http.MethodPost, host: "front", uri: "/", path: "/", header: http.Header{}},
		t:        &config.Treatment{Service: "front", Class: "charge", OnceOnly: true, Timeout: time.Second},
	}
}

// TestChildCallOverTheRetryBudgetIsUnknownWhileAnEarlierOneMayRun guards against "not run" for the key of once-only work that an earlier
// call of the backend server may have run.
func TestChildCallOverTheRetryBudgetIsUnknownWhileAnEarlierOneMayRun(t *testing.T) {
	for _, failed := range []bool{false, true} {
		c := qt.New(t)
		s := newOnceTest(t, "", 0)
		c.Assert(s.in.ledger.BeginCall(s.q.signature("front")), qt.IsTrue)
		if failed {
			s.in.ledger.EndCall(s.q.signature("front"), true)
		}
		a := s.n.sendChild(context.Background(), s.in, s.t, s.q)
		c.Check(a.meta.Reason, qt.Equals, wire.ReasonRetryBudget)
		c.Check(a.meta.Outcome, qt.Equals, wire.Unknown)
	}
}

// TestRetryOverTheCustomersShareIsUnknownIfAnAttemptWasSent guards against "not run" for a repeatable request whose earlier attempt is
// still on its way.
func TestRetryOverTheCustomersShareIsUnknownIfAnAttemptWasSent(t *testing.T) {
	for _, sent := range []bool{false, true} {
		c := qt.New(t)
		n := newOnceTest(t, "", 0).n
		now := time.Now()
		_, e, _ := n.guard.Begin(now, repeat.Attempt{Key: "k", Customer: "c"})
		if sent {
			n.guard.MarkForwarded(e)
		}
		n.guard.End(now, e, nil)
		for i := 0; ; i++ {
			key := strconv.Itoa(i)
			_, first, _ := n.guard.Begin(now, repeat.Attempt{Key: key, Customer: "c"})
			n.guard.End(now, first, nil)
			v, retry, _ := n.guard.Begin(now, repeat.Attempt{Key: key, Customer: "c"})
			if v == repeat.OverRetryShare {
				break
			}
			n.guard.End(now, retry, nil)
		}
		a := n.sendGuarded(context.Background(), &config.Treatment{Service: "front"}, &request{}, "k", "c", time.Second)
		c.Check(a.meta.Reason, qt.Equals, wire.ReasonRetryBudget)
		c.Check(a.meta.Outcome, qt.Equals, map[bool]wire.Outcome{false: wire.NotRun, true: wire.Unknown}[sent])
	}
}

// TestChildCallIsNotRepeatedUnderAnotherToken guards against once-only work that a repeat of the backend server's call runs a second time, or
// is told not run, since it has another token than the call that may have run.
func TestChildCallIsNotRepeatedUnderAnotherToken(t *testing.T) {
	c := qt.New(t)
	s := newOnceTest(t, "parent", 2)
	call := func() *outgoingCall {
		return &outgoingCall{treatment: s.t, req: s.q, ledger: s.in.ledger, deadline: s.in.deadline, call: wire.Call{Service: "front"}}
	}
	signature := s.q.signature("front")
	first := call()
	c.Assert(s.n.setChildKey(s.in, first, signature), qt.IsTrue)
	c.Assert(s.n.renewToken(first), qt.IsTrue)
	again := call()
	c.Assert(s.n.setChildKey(s.in, again, signature), qt.IsTrue)
	c.Check(again.call.Key, qt.Equals, first.call.Key, qt.Commentf("the token that the first call used last"))
	c.Check(s.n.renewToken(first), qt.IsFalse, qt.Commentf("the repeat may run under the token"))

	a := s.n.sendChild(context.Background(), s.in, s.t, s.q) // its home can't be reached
	c.Check(a.meta.Outcome, qt.Equals, wire.Unknown, qt.Commentf("%+v", a.meta))
	a = s.n.settleToken(first, notRunAnswer(wire.ReasonNoServer, 0))
	c.Check(a.meta.Outcome, qt.Equals, wire.Unknown)
}

// TestRepeatOfAChildCallThatDidNotRunHasAnotherHome guards against a repeat that goes to the home that couldn't be reached.
func TestRepeatOfAChildCallThatDidNotRunHasAnotherHome(t *testing.T) {
	c := qt.New(t)
	s := newOnceTest(t, "parent", 0)
	a := s.n.sendChild(context.Background(), s.in, s.t, s.q)
	c.Check(a.meta.Reason, qt.Equals, wire.ReasonNoServer)
	c.Check(a.meta.Outcome, qt.Equals, wire.NotRun)
	c.Check(s.in.tokens, qt.HasLen, 0)
}

// TestHomeThatCannotReachThePreviousOwnerDoesNotRefuseTheKey guards against "not run" for a key that the previous owner of its range may
// have run.
func TestHomeThatCannotReachThePreviousOwnerDoesNotRefuseTheKey(t *testing.T) {
	c := qt.New(t)
	s := newOnceTest(t, "k", 0)
	n := s.n
	previous := onceonly.Owner{VM: "b", Incarnation: "0000000000001-abcdefgh"}
	r := onceonly.HashKey("front", "k").Range()
	n.home.with(func(h *onceonly.Home) {
		c.Assert(h.Announce([]int{r}, previous, "id"), qt.IsNil)
		h.Adopt(time.Now(), onceonly.NewOwnerRow("front", []onceonly.Node{{VM: "a", Incarnation: n.incarnation}}))
	})
	a := n.serveHome(context.Background(), s.in, s.q)
	c.Check(a.meta.Reason, qt.Equals, wire.ReasonNotOwner, qt.Commentf("the sender tries again"))
	a.fromDaemon = true // as the sender gets it
	c.Check(n.outcomeForKey(&outgoingCall{otherAttempts: true}, a).meta.Outcome, qt.Equals, wire.Unknown)
}

// TestSettledRefusalHoldsUntilTheCallsDeadline guards against "not run" for a key of which an attempt arrives later. A call made by
// another has the time that its caller has left, which may be more than its own class allows.
func TestSettledRefusalHoldsUntilTheCallsDeadline(t *testing.T) {
	c := qt.New(t)
	s := newOnceTest(t, "", 0)
	n := s.n
	n.home.with(func(h *onceonly.Home) {
		h.Adopt(time.Now(), onceonly.NewOwnerRow("front", []onceonly.Node{{VM: "a", Incarnation: n.incarnation}}))
	})
	call := &outgoingCall{treatment: s.t, deadline: s.in.deadline, call: wire.Call{Service: "front", Key: "k"}}
	c.Assert(n.settleKey(context.Background(), n.newSettleRequest(call)).Outcome, qt.Equals, wire.NotRun)
	n.home.with(func(h *onceonly.Home) {
		d := h.Memory.Begin(s.in.deadline, onceonly.HashKey("front", "k"), 1, false)
		c.Check(d.Reason, qt.Equals, wire.ReasonKeyClosed)
	})
}

// TestRangeThatClosesIsNotSettledHere guards against "not run" for a key whose record leaves with its range while the home decides.
func TestRangeThatClosesIsNotSettledHere(t *testing.T) {
	c := qt.New(t)
	s := newOnceTest(t, "", 0)
	n := s.n
	n.home.with(func(h *onceonly.Home) {
		h.Adopt(time.Now(), onceonly.NewOwnerRow("front", []onceonly.Node{{VM: "a", Incarnation: n.incarnation}}))
	})
	closeRange := func() {
		n.home.with(func(h *onceonly.Home) { h.CloseRanges([]int{onceonly.HashKey("front", "k").Range()}) })
	}
	checked := func() { s.clock.onNow.Store(&closeRange) }
	s.clock.onNow.Store(&checked)
	reply := n.settleKey(context.Background(), settleRequest{Service: "front", Key: "k", CloseMS: 1000})
	c.Check(reply.Outcome, qt.Equals, wire.Unknown, qt.Commentf("%+v", reply))
	c.Check(reply.Reason, qt.Equals, wire.ReasonNotOwner)
}

// TestKeyedRequestWithoutConfigurationOrRouteIsUnknown guards against "not run" for once-only work that ran through another entry, or by an
// earlier configuration.
func TestKeyedRequestWithoutConfigurationOrRouteIsUnknown(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the node doesn't wait for its configuration
	ask := func(n *Node, key string) wire.Outcome {
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/charge", http.NoBody)
		r.Header.Set(wire.HeaderIdempotencyKey, key)
		return n.handleCaller(r).meta.Outcome
	}
	call := func(n *Node, key string) string {
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://none/charge", http.NoBody)
		r.Header.Set(wire.HeaderIdempotencyKey, key)
		w := httptest.NewRecorder()
		n.serveOutbound(w, r)
		return w.Header().Get(wire.HeaderOutcome)
	}
	for _, n := range []*Node{newSwapTest(t).n, newOnceTest(t, "", 0).n} {
		c.Check(ask(n, "k"), qt.Equals, wire.Unknown)
		c.Check(ask(n, ""), qt.Equals, wire.NotRun)
		c.Check(call(n, "k"), qt.Equals, string(wire.Unknown))
		c.Check(call(n, ""), qt.Equals, string(wire.NotRun))
	}
}

// TestAttemptThatItsSenderGaveUpDoesNotBegin guards against once-only work that begins after its key was refused and opened again, by an
// attempt that was on its way for that long.
func TestAttemptThatItsSenderGaveUpDoesNotBegin(t *testing.T) {
	c := qt.New(t)
	s := newOnceTest(t, "k", 0)
	n := s.n
	n.home.with(func(h *onceonly.Home) {
		h.Adopt(time.Now(), onceonly.NewOwnerRow("front", []onceonly.Node{{VM: "a", Incarnation: n.incarnation}}))
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a := n.serveHome(ctx, s.in, s.q)
	c.Check(a.meta.Outcome, qt.Equals, wire.Unknown)
	c.Check(n.hasRecord(onceonly.HashKey("front", "k")), qt.IsFalse)
}

// TestRefusedRetryIsUnknownIfAnEarlierAttemptMayRun guards against "not run" for a repeatable request whose earlier attempt, through this
// entry or another, was given up and runs later.
func TestRefusedRetryIsUnknownIfAnEarlierAttemptMayRun(t *testing.T) {
	c := qt.New(t)
	n := newOnceTest(t, "", 0).n
	attempt := repeat.Attempt{Key: "here", Customer: "c", RetryTokens: 1}
	_, e, _ := n.guard.Begin(time.Now(), attempt)
	n.guard.MarkUncertain(e)
	n.guard.End(time.Now(), e, nil)
	_, err := n.handleRetryNotes(retryNotes{[]repeat.RetryNotice{
		{Key: "elsewhere", TokensLeft: 1, Uncertain: true}, {Key: "refused elsewhere", TokensLeft: 1},
	}})
	c.Assert(err, qt.IsNil)
	treatment := &config.Treatment{Service: "front"} // its servers can't be reached
	for key, want := range map[string]wire.Outcome{
		"here": wire.Unknown, "elsewhere": wire.Unknown, "refused elsewhere": wire.NotRun, "new": wire.NotRun, "": wire.NotRun,
	} {
		a := n.sendGuarded(context.Background(), treatment, &request{method: http.MethodGet, uri: "/"}, key, "c", time.Second)
		c.Check(a.meta.Outcome, qt.Equals, want, qt.Commentf("%q: %+v", key, a.meta))
		c.Check(a.meta.Reason, qt.Equals, wire.ReasonNoServer)
	}
}
