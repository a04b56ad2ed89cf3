package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/store"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// startSmall runs a cluster of two services, for tests that look at single requests.
func startSmall(t *testing.T, opts Options) *Cluster {
	t.Helper()
	return startSlots(t, 20, opts)
}

// startSlots is startSmall with that many slots at each backend server.
func startSlots(t *testing.T, slots int, opts Options) *Cluster {
	t.Helper()
	g := &Graph{
		Zones: 2, Retries: 2,
		Services: []Service{
			{Name: "front", Servers: 2, Slots: slots, Time: 2 * time.Millisecond},
			{Name: "back", Servers: 4, Slots: slots, Time: 2 * time.Millisecond},
		},
		Classes: []Class{
			{Name: "reads", Tier: 2, Share: 0.5, Timeout: 5 * time.Second, Root: "front", Calls: chainCalls("reads", "front", "back")},
			{Name: "billing", Tier: 3, OnceOnly: true, Share: 0.5, Timeout: 5 * time.Second, Root: "front", Calls: chainCalls("billing", "front", "back")},
		},
	}
	opts.Seed = 1
	if opts.Log == nil {
		opts.Log = logOfFailure(t)
	}
	c, err := StartRockspoke(context.Background(), g, opts)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Stop() })
	return c
}

// logOfFailure returns a writer whose lines are printed if the test fails.
func logOfFailure(t *testing.T) io.Writer {
	t.Helper()
	w := &lockedBuffer{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(w.String())
		}
	})
	return w
}

// lockedBuffer is a buffer that several daemons may write to at once.
type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write appends the bytes; it never fails.
func (w *lockedBuffer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

// String returns all that was written.
func (w *lockedBuffer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.String()
}

// ask sends one request of a caller through an entry.
func (c *Cluster) ask(entry int, class, key string, more http.Header) reply {
	cl := c.Graph.class(class)
	h := more.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(headerLabRequest, key)
	if key != "" {
		h.Set(wire.HeaderIdempotencyKey, key)
	}
	return c.entry()(context.Background(), entry, outgoing{service: cl.Root, method: cl.method(), path: cl.path(), header: h})
}

func (c *Cluster) runsOf(request, service string) int {
	_, runs, _ := c.History.Snapshot()
	n := 0
	for _, r := range runs {
		if r.Request == request && r.Service == service {
			n++
		}
	}
	return n
}

func TestOnceOnlyRequestRunsOnceThroughAnyEntry(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	for i := range 4 {
		rep := cl.ask(i%2, "billing", "invoice-1", nil)
		c.Assert(rep.err, qt.IsNil)
		c.Assert(rep.status, qt.Equals, http.StatusOK)
		c.Assert(rep.outcome, qt.Equals, wire.Ran)
		c.Assert(rep.body, qt.Equals, answerTo("invoice-1", "front"))
	}
	c.Assert(cl.runsOf("invoice-1", "front"), qt.Equals, 1)
	c.Assert(cl.runsOf("invoice-1", "back"), qt.Equals, 1)
}

func TestKeysAreKnownAfterTheirHomeHasLeft(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	for i := range 20 {
		c.Assert(cl.ask(0, "billing", fmt.Sprint("k", i), nil).status, qt.Equals, http.StatusOK)
	}
	front := cl.serversOf("front")[0]
	c.Assert(front.Node.Stop(context.Background()), qt.IsNil)
	for i := range 20 {
		rep := cl.ask(1, "billing", fmt.Sprint("k", i), nil)
		c.Assert(rep.body, qt.Equals, answerTo(fmt.Sprint("k", i), "front"))
		c.Assert(cl.runsOf(fmt.Sprint("k", i), "front"), qt.Equals, 1)
	}
}

func TestKeysOfAKilledHomeAreInDoubtAndNeverRunAgain(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	for i := range 20 {
		c.Assert(cl.ask(0, "billing", fmt.Sprint("k", i), nil).status, qt.Equals, http.StatusOK)
	}
	for _, v := range cl.serversOf("front") {
		c.Assert(v.Node.Close(), qt.IsNil)
	}
	for _, v := range cl.serversOf("front") {
		c.Assert(cl.StartNode(context.Background(), v), qt.IsNil)
	}
	for i := range 20 {
		rep := cl.ask(1, "billing", fmt.Sprint("k", i), nil)
		c.Assert(rep.outcome, qt.Equals, wire.Unknown, qt.Commentf("%+v", rep))
		c.Assert(cl.runsOf(fmt.Sprint("k", i), "front"), qt.Equals, 1)
	}
	// Work without a key of the caller's own goes on by tokens, as soon as the entry knows the new lifetimes.
	for range 100 {
		if cl.ask(1, "billing", "", nil).status == http.StatusOK {
			return
		}
		clock.Sleep(context.Background(), 50*time.Millisecond)
	}
	c.Fatal("no work goes on without a caller's key")
}

func TestTokenWorksThroughAnyEntryAndForgedOnesDont(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	d := demandPlan{id: "t", class: cl.Graph.class("billing")}
	token := cl.tokenFor(context.Background(), hardRetries(), d, 0)
	c.Assert(token, qt.Not(qt.Equals), "")
	for i := range 2 {
		c.Assert(cl.ask(i, "billing", token, nil).outcome, qt.Equals, wire.Ran)
	}
	c.Assert(cl.runsOf(token, "front"), qt.Equals, 1)
	forged := cl.ask(0, "billing", token[:len(token)-3]+"AAA", nil)
	c.Assert(forged.outcome, qt.Not(qt.Equals), wire.Ran)
}

func TestForgedInternalHeadersOfCallersDontCount(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	forged := http.Header{}
	wire.EncodeCall(forged, wire.Call{RootID: "r", Service: "back", RetryTokens: 99, Delegated: true})
	forged.Set(wire.HeaderRequest, "x")
	rep := cl.ask(0, "reads", "r1", forged)
	c.Assert(rep.status, qt.Equals, http.StatusOK)
	c.Assert(rep.body, qt.Equals, answerTo("r1", "front"))
}

// TestRepeatedParentKeepsItsOnceOnlyCall is the case in which a repeatable request that its caller repeated
// through another entry ran the once-only call below it again.
func TestRepeatedParentKeepsItsOnceOnlyCall(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	cl.Graph.Classes[0].Calls = map[string][]Stage{"front": {{{"back", "billing"}}}}
	for i := range 4 {
		c.Assert(cl.ask(i%2, "reads", "visit", nil).status, qt.Equals, http.StatusOK)
	}
	c.Assert(cl.runsOf("visit", "front") > 1, qt.IsTrue)
	c.Assert(cl.runsOf("visit", "back"), qt.Equals, 1)
}

func TestLabelsMoveTrafficWithoutAFailedRequest(t *testing.T) {
	c := qt.New(t)
	// With so many slots that a starved machine's slow calls don't look like overload, which may refuse.
	cl := startSlots(t, 400, Options{Labels: func(_ string, i int) map[string]string {
		return map[string]string{"dc": []string{"old", "new"}[i%2]}
	}})
	ctx := context.Background()
	n := cl.Entries[0].Node
	_, err := n.Change(ctx, config.Change{Base: n.Document().Version, ID: "targets", Put: []config.Object{{
		Kind: config.KindPolicy, Name: "move",
		Policy: &config.PolicySpec{Selector: "team=lab", Order: 1, Targets: []config.Target{{Selector: "dc=old", Weight: 1}}},
	}}})
	c.Assert(err, qt.IsNil)
	c.Assert(cl.inForce(n.Document().Version), qt.IsTrue)
	done := make(chan struct{})
	go func() {
		defer close(done)
		cl.Run(ctx, Load{Seed: 1, Patience: Patience{Timeout: 5 * time.Second, Tries: 1, Whole: 5 * time.Second}, Phases: []Phase{{3 * time.Second, 60}}})
	}()
	clock.Sleep(ctx, time.Second)
	// The old VMs become new ones, and the new ones old: all traffic moves by this one edit of labels.
	var objs []config.Object
	for _, v := range cl.VMs {
		dc := "new"
		if v.Info.Labels["dc"] == "new" {
			dc = "old"
		}
		objs = append(objs, config.Object{Kind: config.KindVM, Name: v.Info.Name, Labels: map[string]string{"dc": dc}})
	}
	doc, err := n.Change(ctx, config.Change{Base: n.Document().Version, ID: "swap", Put: objs})
	c.Assert(err, qt.IsNil)
	c.Assert(cl.inForce(doc.Version), qt.IsTrue)
	moved := time.Now().Add(200 * time.Millisecond) // calls that were chosen before have arrived by then
	<-done
	attempts, runs, demands := cl.History.Snapshot()
	for _, d := range demands {
		c.Assert(d.Served, qt.IsTrue, qt.Commentf("%+v, attempts %+v", d, attemptsOf(attempts, d.ID)))
	}
	before := 0
	for _, r := range runs {
		left := cl.vm(r.Server).Info.Labels["dc"] == "old"
		if left && r.Arrived.Before(moved) {
			before++
		}
		c.Assert(left && r.Arrived.After(moved), qt.IsFalse, qt.Commentf("%s got work %v after %v: %+v, attempts %+v", r.Server, r.Arrived.Sub(moved), moved, r, attemptsOf(attempts, r.Request)))
	}
	c.Assert(before > 0, qt.IsTrue)
}

func (c *Cluster) vm(name string) *VM {
	for _, v := range c.All() {
		if v.Info.Name == name {
			return v
		}
	}
	return nil
}

// inForce waits until every daemon has the version.
func (c *Cluster) inForce(version int64) bool {
	for range 100 {
		r := c.Entries[0].Node.ReportVersions(context.Background(), version)
		if len(r.InForce) == len(c.All()) {
			return true
		}
		clock.Sleep(context.Background(), 50*time.Millisecond)
	}
	return false
}

func TestRestartDuringAnOutageTakesThePeersConfiguration(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	ctx := context.Background()
	n := cl.Entries[0].Node
	doc, err := n.Change(ctx, config.Change{Base: n.Document().Version, ID: "x", Label: &config.LabelEdit{
		Kind: config.KindService, Name: "front", Set: map[string]string{"a": "b"},
	}})
	c.Assert(err, qt.IsNil)
	c.Assert(cl.inForce(doc.Version), qt.IsTrue)
	cl.Platform.SetFaults(store.Faults{Down: true})
	v := cl.VMs[0]
	c.Assert(v.Node.Close(), qt.IsNil)
	c.Assert(cl.StartNode(ctx, v), qt.IsNil)
	c.Assert(cl.inForce(doc.Version), qt.IsTrue)
	c.Assert(cl.ask(0, "reads", "during", nil).status, qt.Equals, http.StatusOK)
}

func TestLostAnswerOfTheStoreIsSettled(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	ctx := context.Background()
	n := cl.Entries[0].Node
	edit := func(id string) config.Change {
		return config.Change{Base: n.Document().Version, ID: id, Label: &config.LabelEdit{
			Kind: config.KindService, Name: "front", Set: map[string]string{"by": id},
		}}
	}
	cl.Platform.SetFaults(store.Faults{LoseAnswer: true})
	doc, err := n.Change(ctx, edit("lost"))
	c.Assert(err, qt.IsNil, qt.Commentf("the commit took effect, so the change was accepted"))
	c.Assert(doc.ChangeID, qt.Equals, "lost")
	old := edit("late")
	old.Base--
	_, err = n.Change(ctx, old)
	c.Assert(err, qt.ErrorMatches, `version is .* meanwhile`)
	cl.Platform.SetFaults(store.Faults{Down: true})
	_, err = n.Change(ctx, edit("down"))
	c.Assert(err, qt.ErrorAs, new(*store.RefusedError))
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	v := cl.serversOf("back")[0]
	ctx := context.Background()
	n := cl.Entries[0].Node
	doc, err := n.Change(ctx, config.Change{Base: n.Document().Version, ID: "leave", Label: &config.LabelEdit{
		Kind: config.KindVM, Name: v.Info.Name, Set: map[string]string{config.LabelLeaving: "true"},
	}})
	c.Assert(err, qt.IsNil)
	c.Assert(cl.inForce(doc.Version), qt.IsTrue)
	c.Assert(v.Node.Leaving(), qt.IsTrue)
	since := time.Now()
	for i := range 40 {
		c.Assert(cl.ask(i%2, "reads", fmt.Sprint("r", i), nil).status, qt.Equals, http.StatusOK)
	}
	_, runs, _ := cl.History.Snapshot()
	for _, r := range runs {
		c.Assert(r.Server == v.Info.Name && r.Arrived.After(since), qt.IsFalse)
	}
}

func TestBackendServersOwnDrainMakesItLeave(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	v := cl.serversOf("back")[1]
	v.Backend.Drain(true)
	for range 200 {
		if v.Node.Leaving() && v.Node.Status().KeyRanges == 0 {
			break
		}
		clock.Sleep(context.Background(), 50*time.Millisecond)
	}
	c.Assert(v.Node.Leaving(), qt.IsTrue)
	c.Assert(v.Node.Status().KeyRanges, qt.Equals, 0)
}

func TestCallerThatLeavesEndsTheWholeSubtree(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	for _, v := range cl.serversOf("back") {
		v.Backend.Slow(1000) // 2 s instead of 2 ms
	}
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	h := http.Header{}
	h.Set(headerLabRequest, "left")
	rep := cl.entry()(ctx, 0, outgoing{service: "front", method: http.MethodGet, path: "/reads", header: h})
	c.Assert(rep.err, qt.IsNotNil)
	for range 40 {
		if ended(cl, "left") {
			break
		}
		clock.Sleep(context.Background(), 50*time.Millisecond)
	}
	_, runs, _ := cl.History.Snapshot()
	services := map[string]bool{}
	for _, r := range runs {
		if r.Request == "left" {
			services[r.Service] = true
			c.Assert(r.Ended.IsZero(), qt.IsFalse, qt.Commentf("%s still works for a caller that left", r.ID))
			c.Assert(r.Done, qt.IsFalse)
		}
	}
	c.Assert(services, qt.DeepEquals, map[string]bool{"front": true, "back": true})
}

// TestOnceOnlyWorkGoesOnWhenItsCallerLeaves is the case in which the calls that such work still made were no
// longer known to belong to it, and so had neither its tokens nor its keys.
func TestOnceOnlyWorkGoesOnWhenItsCallerLeaves(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	for _, v := range cl.serversOf("front") {
		v.Backend.Slow(1500) // 1.5 s before the call below, and after it
	}
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	h := http.Header{}
	h.Set(headerLabRequest, "gone")
	h.Set(wire.HeaderIdempotencyKey, "gone")
	cl.entry()(ctx, 0, outgoing{service: "front", method: http.MethodPost, path: "/billing", header: h})
	calls := 0
	for _, v := range cl.serversOf("front") {
		calls += len(v.Node.Dump().Calls)
	}
	c.Assert(calls, qt.Equals, 1, qt.Commentf("the call is still known while its work goes on"))
	rep := cl.ask(1, "billing", "gone", nil)
	c.Assert(rep.body, qt.Equals, answerTo("gone", "front"))
	c.Assert(cl.runsOf("gone", "front"), qt.Equals, 1)
	c.Assert(cl.runsOf("gone", "back"), qt.Equals, 1)
}

// ended tells whether every run of the request has ended.
func ended(cl *Cluster, request string) bool {
	_, runs, _ := cl.History.Snapshot()
	for _, r := range runs {
		if r.Request == request && r.Ended.IsZero() {
			return false
		}
	}
	return true
}

func TestBadRequestsOfCallersAreRefusedClearly(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	for _, x := range []struct {
		header, value string
	}{
		{wire.HeaderIdempotencyKey, strings.Repeat("k", wire.MaxKeyBytes+1)},
		{wire.HeaderIdempotencyKey, "no\tcontrol characters"},
		{wire.HeaderTimeout, "soon"},
		{wire.HeaderTimeout, "-1"},
	} {
		rep := cl.ask(0, "billing", "", http.Header{x.header: {x.value}})
		c.Assert(rep.status, qt.Equals, http.StatusBadRequest, qt.Commentf("%+v", x))
		c.Assert(rep.outcome, qt.Equals, wire.NotRun)
		c.Assert(strings.Contains(rep.body, x.header), qt.IsTrue, qt.Commentf("%q", rep.body))
	}
	_, runs, _ := cl.History.Snapshot()
	c.Assert(runs, qt.HasLen, 0)
}

func TestStoppedClusterLeavesNoGoroutines(t *testing.T) {
	c := qt.New(t)
	before := goleak.IgnoreCurrent()
	cl, err := StartRockspoke(context.Background(), configGraph(), Options{Seed: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(cl.ask(0, "reads", "r", nil).status, qt.Equals, http.StatusOK)
	c.Assert(cl.Stop(), qt.IsNil)
	c.Assert(goleak.Find(before), qt.IsNil)
}

// attemptsOf returns what became of a caller's tries, for the message of a failing test.
func attemptsOf(attempts []Attempt, id string) []Attempt {
	return slices.DeleteFunc(slices.Clone(attempts), func(a Attempt) bool { return a.Request != id })
}
