package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/admission"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/ledger"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/routing"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// swapClock calls a function when the time is read, once it is armed.
type swapClock struct {
	clock.Real
	onNow atomic.Pointer[func()]
}

// Now calls the function once and returns the current time.
func (s *swapClock) Now() time.Time {
	if fn := s.onNow.Swap(nil); fn != nil {
		(*fn)()
	}
	return s.Real.Now()
}

// swapTest is a node of a service of two VMs, a and b, whose configuration is replaced while it decides.
type swapTest struct {
	n     *Node
	clock *swapClock
	state *controlState
}

// newSwapTest returns the node of VM a, before a backend server that answers 200.
func newSwapTest(t *testing.T) *swapTest {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(srv.Close)
	clk := &swapClock{}
	authority, err := keys.NewAuthority(time.Now())
	qt.Assert(t, err, qt.IsNil)
	m, err := authority.Issue(keys.Identity{Role: keys.RoleVM, Name: "a", Zone: "z"}, time.Hour)
	qt.Assert(t, err, qt.IsNil)
	n, err := New(Options{
		Settings: settings.Settings{VM: "a", Zone: "z", Service: "front", Backend: settings.Backend{Address: srv.Listener.Addr().String()}},
		Keys:     keys.NewStaticStore(m, time.Now), Clock: clk,
	})
	qt.Assert(t, err, qt.IsNil)
	n.backend = n.newBackendTransport()
	t.Cleanup(n.backend.CloseIdleConnections)
	n.gate = newLockedGate(admission.NewGate(admission.Settings{Slots: 10, MaxQueued: 10, MaxSojourn: time.Second}, time.Now()))
	s := newControlState(n)
	s.roster.Refresh([]member.VM{{Name: "a", Service: "front", Zone: "z"}, {Name: "b", Service: "front", Zone: "z"}})
	return &swapTest{n, clk, s}
}

// put brings a version into force whose policy targets dc=old, with the given labels of the VMs.
func (s *swapTest) put(c *qt.C, version int64, selector, labelA, labelB string) {
	objs := []config.Object{
		{Kind: config.KindService, Name: "front", Labels: map[string]string{"team": "lab"}, Service: &config.ServiceSpec{Slots: 10, Connections: 10}},
		{Kind: config.KindPolicy, Name: "p", Policy: &config.PolicySpec{Selector: "team=lab", Targets: []config.Target{{Selector: selector, Weight: 1}}}},
		{Kind: config.KindVM, Name: "a", Labels: map[string]string{"dc": labelA}},
		{Kind: config.KindVM, Name: "b", Labels: map[string]string{"dc": labelB}},
	}
	c.Assert(s.state.offerDocument(&config.Document{Version: version, Objects: objs}), qt.IsTrue)
	s.n.publishSnapshot(s.state)
}

// newCall returns a call to the service, by the configuration in force.
func (s *swapTest) newCall(method string) *outgoingCall {
	q := &request{method: method, host: "front", uri: "/", path: "/", header: http.Header{}}
	return &outgoingCall{treatment: q.callTreatment(s.n.snapshot.Load().plan), resolve: q.callTreatment, req: q}
}

// pickAfter makes a call by the configuration in force, changes that, and picks a server for the call.
func (s *swapTest) pickAfter(change func()) (*routing.Server, routing.Outcome) {
	call := s.newCall(http.MethodGet)
	change()
	return s.n.pickForCall(time.Now(), call, nil)
}

// TestOnceOnlyRunIsNotRefusedByAReplacedConfiguration guards against a decision that takes the treatment from one
// configuration and the servers from the next.
func TestOnceOnlyRunIsNotRefusedByAReplacedConfiguration(t *testing.T) {
	c := qt.New(t)
	s := newSwapTest(t)
	s.put(c, 1, "dc=old", "new", "old")
	swap := func() { s.put(c, 2, "dc=old", "old", "new") }
	s.clock.onNow.Store(&swap)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	in := &inbound{ctx: ctx, call: wire.Call{Service: "front"}, deadline: time.Now().Add(time.Second), ledger: ledger.New(2)}
	a := s.n.runOrDelegate(ctx, in, &request{method: http.MethodPost, host: "front", uri: "/", path: "/", header: http.Header{}})
	c.Assert(a.meta.Outcome, qt.Equals, wire.Ran, qt.Commentf("%+v", a.meta))
}

// TestCallFindsServersOfTheNewestConfiguration is the same for a call that is about to be sent.
func TestCallFindsServersOfTheNewestConfiguration(t *testing.T) {
	c := qt.New(t)
	s := newSwapTest(t)
	s.put(c, 1, "dc=old", "old", "old")
	_, found := s.pickAfter(func() { s.put(c, 2, "dc=renamed", "renamed", "renamed") })
	c.Assert(found, qt.Equals, routing.Picked)
}

// TestRetryGoesToTheServersOfTheNewestConfiguration guards against attempts at servers from which an edit has moved the traffic.
func TestRetryGoesToTheServersOfTheNewestConfiguration(t *testing.T) {
	c := qt.New(t)
	s := newSwapTest(t)
	s.put(c, 1, "dc=one", "one", "two")
	srv, found := s.pickAfter(func() { s.put(c, 2, "dc=two", "one", "two") })
	c.Assert(found, qt.Equals, routing.Picked)
	c.Assert(srv.VM, qt.Equals, "b")
}

// TestTokenIsIssuedByTheNewestConfiguration is the same for once-only work that needs a token.
func TestTokenIsIssuedByTheNewestConfiguration(t *testing.T) {
	c := qt.New(t)
	s := newSwapTest(t)
	s.put(c, 1, "dc=old", "old", "old")
	s.state.merge(exchange{Nodes: []member.NodeInfo{{VM: "b", Incarnation: "0000000000001-abcdefgh"}}})
	call := s.newCall(http.MethodPost)
	s.put(c, 2, "dc=renamed", "renamed", "renamed")
	_, ok := s.n.newTokenFor(call)
	c.Assert(ok, qt.IsTrue)
}

// TestCallIsSentOnOnlyByANewerConfiguration guards against calls that go in circles, and against calls that a node which is behind the
// sender sends back.
func TestCallIsSentOnOnlyByANewerConfiguration(t *testing.T) {
	c := qt.New(t)
	s := newSwapTest(t)
	s.put(c, 4, "dc=old", "old", "new")
	q := s.newCall(http.MethodGet).req
	sentOn := func(chosenBy int64) bool {
		srv, ok := s.n.newTarget(s.n.snapshot.Load(), wire.Call{Service: "front", ConfigVersion: chosenBy}, q)
		return ok && srv.VM == "b"
	}
	s.put(c, 5, "dc=new", "old", "new")
	c.Check(sentOn(4), qt.IsTrue)
	c.Check(sentOn(5), qt.IsFalse)
	c.Check(sentOn(6), qt.IsFalse)
	c.Check(sentOn(0), qt.IsFalse) // of a node that doesn't say
	s.put(c, 6, "dc=new", "new", "new")
	c.Check(sentOn(5), qt.IsFalse)
	s.put(c, 7, "dc=none", "new", "new")
	c.Check(sentOn(6), qt.IsFalse)
}
