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

// One of two servers of the bottom service had ended for good; after a loss of all nodes half of what was served before was served.
func TestAServerThatIsGoneDoesntCountAfterALossOfAllNodes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := deepSite(t)
		s.network.slowDown(100 * time.Microsecond)
		s.addDeep("floor", "z1", floorSlots) // near callers, which try it first
		gone := s.servers[len(s.servers)-1]
		s.settled(1)
		ctx, cancel := context.WithCancel(t.Context())
		var k clientLoad
		k.start(ctx, s)
		time.Sleep(4 * time.Second)
		gone.srv.Close()
		time.Sleep(8 * time.Second)
		lost := time.Now()
		s.haltAll()
		time.Sleep(time.Second)
		s.startAllWithoutServer(len(s.nodes) - 1)
		back := time.Now()
		time.Sleep(9 * time.Second)
		cancel()
		k.sending.Wait()
		time.Sleep(time.Second) // runs whose callers have gone
		before := k.servedIn(lost.Add(-6*time.Second), 5*time.Second)
		after := k.servedIn(back.Add(3*time.Second), 5*time.Second)
		c.Check(float64(before) > 5*floorCapacity, qt.IsTrue, qt.Commentf("%d served in five seconds before the loss", before))
		c.Check(float64(after) > 0.8*float64(before), qt.IsTrue, qt.Commentf("%d served in five seconds before the loss, %d after it", before, after))
		t.Logf("%d served in five seconds before the loss, %d after it", before, after)
	})
}

// Requests that a gone server never ran seemed to be runs that took no time, so that its service seemed to have room for twice as many.
func TestRefusedConnectionsAreNoRuns(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, gone := oneOfTwoGone(t)
		for i := range 60 {
			s.askRead(i)
			time.Sleep(50 * time.Millisecond)
		}
		c.Check(s.nodes[gone].stats.report(time.Now()).Runs, qt.HasLen, 0)
	})
}

// A node's own request to the gone server was taken for a run in progress, so that it never found that nobody is there.
func TestANodeFindsThatItsServerIsGone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, gone := oneOfTwoGone(t)
		for range 20 {
			s.askRead(gone)
		}
		c.Check(s.nodes[gone].away.Load(), qt.IsTrue)
		s.beat(gone, false)
		c.Check(s.nodes[gone].away.Load(), qt.IsFalse)
	})
}

// Each call went to the gone server first, some 2,000 a second, since it seemed idle.
func TestAGoneServerIsPassedBy(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, gone := oneOfTwoGone(t)
		s.servers[0].work = 100 * time.Millisecond
		time.Sleep(learnedWait) // what comes before waits, and goes on at once
		const reads = 600
		var asking sync.WaitGroup
		for i := range reads {
			asking.Go(func() { s.askRead(i) })
			time.Sleep(5 * time.Millisecond)
		}
		asking.Wait()
		key := label("arrivals_total", "service", "a", "outcome", "not-run", "reason", "no-server")
		tries := metrics.GetOrRegisterCounter(key, s.nodes[gone].metrics.registry).Count()
		c.Check(tries < reads/20, qt.IsTrue, qt.Commentf("%d of %d reads went to it", tries, reads))
		s.servers[0].srv.Close()
		c.Check(s.askRead(0), qt.Equals, http.StatusServiceUnavailable)
	})
}

// oneOfTwoGone is a site of two servers of which one isn't there, though its record says that it serves.
func oneOfTwoGone(t *testing.T) (s *site, gone int) {
	s = newMemorySite(t)
	s.network.slowDown(100 * time.Microsecond)
	s.seeds = []string{s.at(s.base+"1", 2)}
	s.add("a", "z0", 10)
	s.add("a", "z0", 10)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
	s.settled(1)
	gone = 1
	s.servers[gone].srv.Close()
	return s, gone
}

// askRead sends a read to a node.
func (s *site) askRead(i int) int {
	status, _, _ := s.ask(i%len(s.nodes), http.MethodGet, "/read/x", fmt.Sprint("r", time.Now().UnixNano()), time.Second)
	return status
}
