package mesh

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/loads"
)

// sampleLearned returns the learned values of one route.
func sampleLearned() []loads.Learned {
	return []loads.Learned{{
		Service: "a", CallsPerRun: map[string]callgraph.Rates{"r": {"x": 5}},
		Times: map[string]loads.RunTiming{"r": {Rate: 10, HoldSeconds: 0.1}},
	}}
}

// Guards against over-admission after a loss of all processes: the nodes had to learn the calls again during the overload.
func TestANodeRestoresLearnedCallsAtStart(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.store.learned["a"] = loads.Learned{Service: "a", CallsPerRun: map[string]callgraph.Rates{"r": {"called": 4}}}
	s.store.learned["b"] = loads.Learned{Service: "b", CallsPerRun: map[string]callgraph.Rates{"r": {"called": 9}}}
	n, _ := s.add("a", "z", 10)
	s.waitFor("it is restored", func() bool {
		n.stats.dropRun(time.Now(), n.stats.beginRun(time.Now(), "r", time.Now()))
		n.stats.mu.Lock()
		defer n.stats.mu.Unlock()
		return n.stats.callsPerRun("r")["called"] == 4
	})
	c.Assert(n.isServiceWriter(), qt.IsTrue)
}

func TestOneNodePerServiceStoresLearnedCalls(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	writers := 0
	for _, n := range s.nodes {
		if n.isServiceWriter() {
			writers++
		}
	}
	c.Assert(writers, qt.Equals, 1)
}

func TestSmallChangesArentWritten(t *testing.T) {
	c := qt.New(t)
	none := loads.Learned{}
	calls := func(n float64) loads.Learned {
		return loads.Learned{CallsPerRun: map[string]callgraph.Rates{"r": {"x": n}}}
	}
	holds := func(hold float64) loads.Learned {
		l := calls(4)
		l.Times = map[string]loads.RunTiming{"r": {Rate: 10, HoldSeconds: hold}}
		return l
	}
	called := calls(4)
	called.InternalRoutes = []string{"r"}
	c.Assert(learnedDiffers(calls(4), none), qt.IsTrue)
	c.Assert(learnedDiffers(calls(4), calls(3.5)), qt.IsFalse)
	c.Assert(learnedDiffers(calls(4), calls(2)), qt.IsTrue)
	c.Assert(learnedDiffers(calls(0.1), none), qt.IsFalse)
	c.Assert(learnedDiffers(none, calls(4)), qt.IsFalse)
	c.Assert(learnedDiffers(loads.Learned{CallsPerRun: map[string]callgraph.Rates{"r": {}}}, calls(4)), qt.IsTrue, qt.Commentf("a call that is no longer made"))
	c.Assert(learnedDiffers(holds(0.03), holds(0.05)), qt.IsFalse)
	c.Assert(learnedDiffers(holds(0.03), holds(0.1)), qt.IsTrue)
	c.Assert(learnedDiffers(holds(0.03), calls(4)), qt.IsTrue, qt.Commentf("a hold time that isn't stored yet"))
	c.Assert(learnedDiffers(called, calls(4)), qt.IsTrue, qt.Commentf("a route that only servers call"))
}

// Guards against useless store calls: every restart wrote the record twice and read all others three times without a change.
func TestARestartedNodeWritesNothingNew(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	known := directory.Record{Host: s.base + "1", Generation: 7, Instance: "i-" + s.base + "1", Service: "a", Zone: "z", Slots: 10, Phase: directory.Serving}
	s.store.records[known.Host] = known
	n, _ := s.add("a", "z", 10) // its heartbeat arrives before the store's answer
	s.waitFor("it is restored", func() bool { return n.view.Load().localServer.Generation >= 7 })
	time.Sleep(50 * time.Millisecond)
	c.Assert(n.view.Load().localServer, qt.Equals, known)
	c.Assert(s.store.recordWrites(), qt.Equals, 0)
	s.heartbeat(0, true)
	c.Assert(s.store.recordWrites(), qt.Equals, 1)
	c.Assert(n.view.Load().localServer.Generation, qt.Equals, int64(8))
}

// Guards against over-admission after the restart of the node of a service's only server during a store outage: it had
// no source for the calls that its runs make, so they seemed to make none, and all nodes admitted too much.
func TestANodeRestoresLearnedCallsFromPeersWhileTheStoreIsDown(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.seeds = []string{s.at(s.base+"1", 0)}
	top, _ := s.add("a", "z", 10)
	low, _ := s.add("b", "z", 10)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a"), route("called", desired.Repeatable, "b")}})
	s.waitUntilKnown(1)
	known := make(chan struct{})
	top.enqueue(func() {
		top.restoreLearned("test", []loads.Learned{{
			Service: "b", CallsPerRun: map[string]callgraph.Rates{"called": {"x": 5}},
			Times: map[string]loads.RunTiming{"called": {Rate: 10, HoldSeconds: 0.1}}, InternalRoutes: []string{"called"},
		}})
		close(known)
	})
	<-known
	s.store.setDown(true)
	low.halt()
	s.start(1)
	low = s.nodes[1]
	s.waitFor("the restarted node knows the calls", func() bool { return low.isInternalRoute("called") })
	c.Assert(low.learnedRestore.complete.Load(), qt.IsTrue)
	low.stats.dropRun(time.Now(), low.stats.beginRun(time.Now(), "called", time.Now()))
	low.stats.mu.Lock()
	defer low.stats.mu.Unlock()
	c.Assert(low.stats.callsPerRun("called")["x"], qt.Equals, 5.0)
}

// Guards against admitting requests regardless of their cost between the first desired state and the learned costs.
func TestRequestsWaitForLearnedCosts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &Node{clock: clock.Real{}}
		begun := time.Now()
		n.learnedRestore.firstStateAt.Store(&begun)
		go func() {
			time.Sleep(learnedWait / 2)
			n.learnedRestore.complete.Store(true)
		}()
		n.awaitLearned(t.Context())
		c.Assert(time.Since(begun) < learnedWait/2+2*startupPollInterval, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
		n = &Node{clock: clock.Real{}}
		begun = time.Now()
		n.learnedRestore.firstStateAt.Store(&begun)
		n.awaitLearned(t.Context())
		c.Assert(time.Since(begun) < learnedWait+2*startupPollInterval, qt.IsTrue, qt.Commentf("nothing arrives: %v", time.Since(begun)))
		c.Assert(n.learnedRestore.complete.Load(), qt.IsTrue)
	})
}

// Guards against nodes restoring each other's values with every message, which spread the wrong estimate of one node to all:
// for 15 s eight calls were assumed for a route that makes none, and 15 % of the requests were served with capacity for 27 %.
func TestLearnedCallsOfPeersAreRestoredOnce(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	n, _ := s.add("a", "z", 10)
	learnedWith := func(calls float64) []loads.Learned {
		return []loads.Learned{{
			Service: "a", CallsPerRun: map[string]callgraph.Rates{"r": {"x": calls}},
			Times: map[string]loads.RunTiming{"r": {Rate: 1, HoldSeconds: 1}},
		}}
	}
	restored := make(chan float64)
	n.enqueue(func() {
		n.restoreFromPeer("peer", learnedWith(1))
		n.restoreFromPeer("peer", learnedWith(8))
		n.stats.dropRun(time.Now(), n.stats.beginRun(time.Now(), "r", time.Now()))
		n.stats.mu.Lock()
		defer n.stats.mu.Unlock()
		restored <- n.stats.callsPerRun("r")["x"]
	})
	c.Assert(<-restored, qt.Equals, 1.0)
}

// Guards against classifying internal routes wrongly after a loss of all processes. Backend servers continued runs unknown to
// their restarted nodes, so their calls looked like clients' requests, and the classification alternated for 1.2 s.
func TestRouteClassificationHoldsAfterARestart(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	n, _ := s.add("a", "z", 10)
	decisions := make(chan [2]bool)
	n.enqueue(func() {
		now := time.Now()
		n.control.internalRoutes.restore(now, loads.Learned{CallsPerRun: map[string]callgraph.Rates{"called": {}, "root": {}}, InternalRoutes: []string{"called"}})
		n.control.reports = map[string]*nodeReport{"x": {receivedAt: now, Report: loads.Report{
			Host: "x", Service: "a", Entries: map[string]loads.Entry{"called": {Fresh: 100, WithoutCaller: 90}, "root": {Fresh: 100, WithoutCaller: 90}},
		}}}
		n.updateInternalRoutes(now, n.currentSums())
		soon := n.control.internalRoutes.internal["called"] && !n.control.internalRoutes.internal["root"]
		n.updateInternalRoutes(now.Add(restoredDecisionTime), n.currentSums())
		decisions <- [2]bool{soon, n.control.internalRoutes.internal["called"]}
	})
	c.Assert(<-decisions, qt.Equals, [2]bool{true, false})
}

// Guards against a halted node that hangs while it collects what to store, waiting for its ended control goroutine.
func TestAHaltedNodeStoresNothing(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	n, _ := s.add("a", "z", 10)
	ctx, cancel := context.WithCancel(t.Context())
	_, ok := n.collectLearned(ctx)
	c.Assert(ok, qt.IsTrue)
	cancel()
	for range eventQueueSize {
		select {
		case n.events <- func() { time.Sleep(time.Millisecond) }:
		default:
		}
	}
	_, ok = n.collectLearned(ctx)
	c.Assert(ok, qt.IsFalse)
}
