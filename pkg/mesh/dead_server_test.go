package mesh

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// One of two servers of the bottom service is down for good. After a loss of all nodes only half of the requests served
// before were served, since the dead server still counted as capacity.
func TestDeadServerDoesNotCountAfterLossOfAllNodes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := deepSite(t)
		s.network.setDialTime(100 * time.Microsecond)
		s.addDeep("floor", "z1", floorSlots) // in the zone of its callers, which try it first
		dead := s.servers[len(s.servers)-1]
		s.waitUntilKnown(1)
		ctx, cancel := context.WithCancel(t.Context())
		var k clientLoad
		k.start(ctx, s)
		time.Sleep(4 * time.Second)
		dead.srv.Close()
		time.Sleep(8 * time.Second)
		lost := time.Now()
		s.haltAll()
		time.Sleep(time.Second)
		s.startAllWithoutServer(len(s.nodes) - 1)
		back := time.Now()
		time.Sleep(9 * time.Second)
		cancel()
		k.sending.Wait()
		time.Sleep(time.Second) // for runs whose callers have disconnected
		before := k.servedIn(lost.Add(-6*time.Second), 5*time.Second)
		after := k.servedIn(back.Add(3*time.Second), 5*time.Second)
		c.Check(float64(before) > 5*floorCapacity, qt.IsTrue, qt.Commentf("%d served in five seconds before the loss", before))
		c.Check(float64(after) > 0.8*float64(before), qt.IsTrue, qt.Commentf("%d served in five seconds before the loss, %d after it", before, after))
		t.Logf("%d served in five seconds before the loss, %d after it", before, after)
	})
}

// Requests that a dead server never ran were counted as runs that took no time, so that its service seemed to have
// twice the usable slots.
func TestRefusedConnectionsAreNotCountedAsRuns(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, dead := siteWithDeadServer(t)
		for i := range 60 {
			s.sendRead(i)
			time.Sleep(50 * time.Millisecond)
		}
		c.Check(s.nodes[dead].stats.report(time.Now()).Runs, qt.HasLen, 0)
	})
}

// A node's own request to its dead server was counted as a run in progress, so the node never found that the server
// wasn't listening.
func TestNodeDetectsThatItsServerIsNotListening(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, dead := siteWithDeadServer(t)
		for range 20 {
			s.sendRead(dead)
		}
		c.Check(s.nodes[dead].serverNotListening.Load(), qt.IsTrue)
		s.heartbeat(dead, false)
		c.Check(s.nodes[dead].serverNotListening.Load(), qt.IsFalse)
	})
}

// The dead server looked idle, so each call was sent to it first, some 2,000 a second.
func TestDeadServerGetsFewRequests(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, dead := siteWithDeadServer(t)
		s.servers[0].workTime = 100 * time.Millisecond
		time.Sleep(learnedWait) // earlier requests would wait and then arrive all at once
		const reads = 600
		var clients sync.WaitGroup
		for i := range reads {
			clients.Go(func() { s.sendRead(i) })
			time.Sleep(5 * time.Millisecond)
		}
		clients.Wait()
		key := seriesKey("arrivals_total", "service", "a", "outcome", "not-run", "reason", "no-server")
		tries := metrics.GetOrRegisterCounter(key, s.nodes[dead].metrics.registry).Count()
		c.Check(tries < reads/20, qt.IsTrue, qt.Commentf("%d of %d reads went to it", tries, reads))
		s.servers[0].srv.Close()
		c.Check(s.sendRead(0), qt.Equals, http.StatusServiceUnavailable)
	})
}

// siteWithDeadServer returns a site of two servers and the index of the one that is down although its record says that
// it serves.
func siteWithDeadServer(t *testing.T) (s *site, dead int) {
	s = newMemorySite(t)
	s.network.setDialTime(100 * time.Microsecond)
	s.seeds = []string{s.at(s.base+"1", 2)}
	s.add("a", "z0", 10)
	s.add("a", "z0", 10)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
	s.waitUntilKnown(1)
	dead = 1
	s.servers[dead].srv.Close()
	return s, dead
}

// sendRead sends a read to a node and returns the status.
func (s *site) sendRead(i int) int {
	status, _, _ := s.request(i%len(s.nodes), http.MethodGet, "/read/x", fmt.Sprint("r", time.Now().UnixNano()), time.Second)
	return status
}
