package mesh

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

func TestADrainingServerGetsNothingFromAnyNode(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	s.heartbeat(1, true)
	before := len(s.servers[1].ran())
	for i := range 60 {
		status, _, _ := s.request(i%3, http.MethodPost, "/pay/x", fmt.Sprint("p", i), time.Second)
		c.Assert(status, qt.Equals, 200)
	}
	c.Assert(s.servers[1].ran(), qt.HasLen, before)
	s.heartbeat(1, false) // a heartbeat that was in flight
	s.request(1, http.MethodPost, "/pay/x", "late", time.Second)
	c.Assert(s.servers[1].ran(), qt.HasLen, before)
}

func TestDrainIsAcknowledgedWithinASecondWithoutTheStore(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	s.store.setDown(true)
	begun := time.Now()
	s.heartbeat(2, true)
	c.Assert(time.Since(begun) < 900*time.Millisecond, qt.IsTrue)
	s.store.setDown(false)
	s.waitFor("the record is stored after the outage", func() bool {
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		return s.store.records[s.servers[2].ip].Phase.String() == "draining"
	})
	c.Assert(time.Since(begun) < 3*time.Second, qt.IsTrue)
}

// A planned stop answers requests in flight and those that arrive on open connections.
func TestPlannedStopAnswersRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	s.servers[0].workTime = 400 * time.Millisecond
	s.servers[1].workTime = 400 * time.Millisecond
	s.servers[2].workTime = 400 * time.Millisecond
	statuses := make(chan int, 1000)
	stop := make(chan struct{})
	for w := range 8 {
		go func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					statuses <- -1
					return
				default:
				}
				status, why, _ := s.request(0, http.MethodPost, "/pay/x", fmt.Sprintf("w%d.%d", w, i), 5*time.Second)
				if status == 0 {
					t.Log(why)
				}
				statuses <- status
				if status == http.StatusServiceUnavailable || status == 0 {
					statuses <- -1
					return
				}
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.nodes[0].Stop(context.Background()) }()
	finished := 0
	for finished < 8 {
		switch st := <-statuses; st {
		case -1:
			finished++
		case 200, http.StatusServiceUnavailable:
		default:
			t.Fatalf("status %d during a planned stop", st)
		}
	}
	close(stop)
	c.Assert(<-done, qt.IsNil)
}

// A stopping node ended as soon as no request was in flight. On a busy machine a client that had just got its answer and
// returned found a closed port, or a connection that was closed before its request was read.
func TestReturningClientIsAnsweredBeforeStopEnds(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	for i := range 20 { // a request of a route that the node doesn't know isn't taken in as late as this
		status, _, _ := s.request(0, http.MethodPost, "/pay/x", fmt.Sprint("calm", i), time.Second)
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	done := make(chan error, 1)
	go func() { done <- s.nodes[0].Stop(context.Background()) }()
	time.Sleep(clientServingTime - 200*time.Millisecond)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(400 * time.Millisecond)
		fmt.Fprint(w, "ok")
	})
	status, _, _ := s.request(0, http.MethodPost, "/pay/x", "last", 5*time.Second)
	c.Assert(status, qt.Equals, http.StatusOK)
	time.Sleep(idleBeforeEnd / 2)
	status, why, _ := s.request(0, http.MethodPost, "/pay/x", "again", 5*time.Second)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", why))
	c.Assert(<-done, qt.IsNil)
}

// A stopping node accepted its peers' requests until its end and cut those that were in flight then.
func TestStoppingNodeRejectsPeerRequests(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.add("a", "z", 10)
	s.add("b", "z", 10)
	s.servers[0].workTime = 3 * time.Second
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("pay", desired.AtMostOnce, "a")}})
	s.waitUntilKnown(1)
	long := make(chan int, 1)
	go func() {
		status, _, _ := s.request(1, http.MethodPost, "/pay/x", "long", 10*time.Second)
		long <- status
	}()
	s.waitFor("the long request runs", func() bool { return len(s.servers[0].ran()) == 1 })
	done := make(chan error, 1)
	go func() { done <- s.nodes[0].Stop(context.Background()) }()
	s.waitFor("peers are refused", func() bool {
		status, _, h := s.request(1, http.MethodPost, "/pay/x", "late", 300*time.Millisecond)
		return status == http.StatusServiceUnavailable && h.Get(wire.HeaderReason) == string(wire.ReasonLeaving)
	})
	c.Assert(<-long, qt.Equals, http.StatusOK)
	c.Assert(<-done, qt.IsNil)
}

// Guards against requests that a stopping node takes in though they can't end before it halts, and that it then cuts.
func TestStoppingNodeTakesInNothingThatItWouldCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newMemorySite(t)
		s.add("front", "z0", 10)
		s.add("a", "z1", 50)
		s.servers[1].workTime = 2600 * time.Millisecond
		s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("pay", desired.AtMostOnce, "a")}})
		s.waitUntilKnown(1)
		time.Sleep(startupWait)
		var clients sync.WaitGroup
		send := func(id string) { s.sendServedOrRefused(c, &clients, id) }
		for k := range 20 {
			send(fmt.Sprint("calm", k))
			time.Sleep(100 * time.Millisecond)
		}
		clients.Wait()
		done := make(chan error, 1)
		go func() { done <- s.nodes[0].Stop(context.Background()) }()
		for k := range 35 {
			send(fmt.Sprint("stop", k))
			time.Sleep(100 * time.Millisecond)
		}
		clients.Wait()
		c.Assert(<-done, qt.IsNil)
		c.Check(slices.Contains(s.allRan(), "stop25"), qt.IsTrue)
	})
}

// Guards against a drain that is confirmed and has no effect, after a heartbeat of another writer with the server's ID and a high number.
func TestConfirmedDrainIsApplied(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.add("a", "z0", 10)
	s.add("a", "z1", 10)
	s.servers[1].startedAt.Store(1000)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("pay", desired.AtMostOnce, "a")}})
	s.heartbeat(1, false)
	s.waitUntilKnown(1)
	foreign := s.servers[1].registration(false)
	foreign.StartedMS, foreign.HeartbeatSeq = 0, 100_000
	c.Assert(s.nodes[1].Heartbeat(t.Context(), foreign), qt.IsNil)
	foreign.Draining = true
	var e *DrainIgnoredError
	c.Assert(s.nodes[1].Heartbeat(t.Context(), foreign), qt.ErrorAs, &e)
	c.Check(e.Instance, qt.Equals, s.servers[1].instance)
	s.heartbeat(1, true)
	for i := range 20 {
		status, _, _ := s.request(i%2, http.MethodPost, "/pay/x", fmt.Sprint("p", i), time.Second)
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	c.Check(s.servers[1].ran(), qt.HasLen, 0)
}

// newLeavingSite returns a site in simulated time of a node that clients use and two servers of another service, 1 and 2.
func newLeavingSite(t *testing.T) *site {
	s := newMemorySite(t)
	s.add("front", "z0", 10)
	s.add("a", "z1", 10)
	s.add("a", "z2", 10)
	return s
}

// checkUnused checks that requests of the route pay are served and that none has reached the server.
func (s *site) checkUnused(c *qt.C, f *fakeServer) {
	for i := range 30 {
		status, _, _ := s.request(0, http.MethodPost, "/pay/x", fmt.Sprint("p", i), time.Second)
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	c.Check(f.ran(), qt.HasLen, 0)
}

// Guards against a leaving that a node confirms before it has its earlier record, which then put the server back to use.
func TestLeavingConfirmedDuringTheStartIsNotUndone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newLeavingSite(t)
		f := s.servers[1]
		for lifetime := range int64(2) {
			f.startedAt.Store(1000 + lifetime)
			s.heartbeat(1, false)
		}
		s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("pay", desired.AtMostOnce, "a")}})
		s.waitUntilKnown(1)
		time.Sleep(startupWait)
		s.nodes[1].halt()
		s.store.setDelay(300 * time.Millisecond)
		s.startNode(1)
		s.nodes[1].Leave(t.Context(), directory.Lifetime{Instance: f.instance})
		time.Sleep(2 * time.Second)
		s.checkUnused(c, f)
	})
}

// Guards against a leaving that is confirmed while the store is down, and then forgotten as all processes are killed.
func TestLeavingConfirmedInAnOutageOutlastsALossOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newLeavingSite(t)
		s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("pay", desired.AtMostOnce, "a")}})
		s.waitUntilKnown(1)
		f := s.servers[1]
		s.store.setDown(true)
		s.nodes[1].Leave(t.Context(), directory.Lifetime{Instance: f.instance})
		for _, n := range s.nodes {
			n.halt()
		}
		for i := range s.nodes {
			s.startNode(i)
		}
		time.Sleep(time.Second)
		s.store.setDown(false)
		for i := range s.nodes {
			if i != 1 {
				s.heartbeat(i, false) // the server that has left sends none
			}
		}
		time.Sleep(2 * time.Second)
		s.checkUnused(c, f)
	})
}
