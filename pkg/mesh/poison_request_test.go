package mesh

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// A read that ends each server that runs it came again and again, at nodes of all zones. Users saw a service out for half
// of the time: of 28,161 reads 18,748 were served in time. The order of events: the first server ended some 70 ms after it began to
// run the read; its node took the answer for lost on the way, and the entry node sent the read to the next server 10 ms later;
// the client got its 502 and came again at another node, which knew nothing. In 0.6 s all five servers were gone, and as they were back
// it began again.
//
// The cause: what a request did to servers was forgotten between its attempts, within one attempt as well. Evidence: of the
// lines `server ended` of this test each names the fingerprint of this request, and no other one stands in all of them
// (TestTheLogTellsWhichRequestRanInEachServerThatEnded); nothing ends while it isn't asked for.
func TestARequestThatEndsServersIsHeldBack(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name    string
		servers int
		fuse    time.Duration
		perS    int
		entries []int
		queries bool
		sameID  bool
	}{
		{"soon, at one entry", 9, 70 * time.Millisecond, 12, []int{0}, false, false},
		{"soon, at any entry", 9, 20 * time.Millisecond, 12, []int{0, 1, 2}, false, false},
		{"after a while, at any entry", 9, 500 * time.Millisecond, 12, []int{0, 1, 2}, false, false},
		{"seldom", 9, 70 * time.Millisecond, 1, []int{1}, false, false},
		{"another query each time, at any entry", 9, 70 * time.Millisecond, 12, []int{0, 1, 2}, true, false},
		{"another query each time, at nodes of both services", 9, 70 * time.Millisecond, 12, []int{0, 3, 7}, true, false},
		{"servers back under their ids", 9, 20 * time.Millisecond, 12, []int{0, 1, 2}, false, true},
		{"three servers", 3, 70 * time.Millisecond, 12, []int{0, 1, 2}, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := newPoisonSite(t, x.servers, x.fuse)
				p.queries, p.sameID = x.queries, x.sameID
				p.from = time.Now()
				p.work.Go(func() { p.askReads(14*time.Second, differentReads) })
				time.Sleep(3 * time.Second)
				p.askPoison(8*time.Second, x.perS, x.entries...)
				p.finish()
				p.poison[poisonPath].check(c)
				c.Check(p.shareServed(8, 14) > 0.99, qt.IsTrue, qt.Commentf("%.3f of the reads served from 5 s after its first run on", p.shareServed(8, 14)))
			})
		})
	}
}

// check checks that the request was held back. Copies that began before the first end, when nothing could be known, may end a server each; then two more
// ends tell.
func (r *poisonRuns) check(c *qt.C) {
	c.Check(r.sendsAfterThirdEnd(time.Second), qt.Equals, 0, qt.Commentf("sends more than a second after its third end"))
	most := r.sendsBeforeFirstEnd() + 2
	c.Check(len(r.ended) <= most, qt.IsTrue, qt.Commentf("%d servers ended, at most %d may", len(r.ended), most))
}

// Two poison requests at once are told from each other and from the reads beside them.
func TestTwoRequestsThatEndServersAreHeldBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPoisonSite(t, 12, 70*time.Millisecond)
		p.from = time.Now()
		p.work.Go(func() { p.askReads(12*time.Second, differentReads) })
		time.Sleep(2 * time.Second)
		for _, name := range []string{"1", "2"} {
			p.work.Go(func() { p.askFor(poisonPath+name, 7*time.Second, 8, 0, 1, 2) })
		}
		time.Sleep(7 * time.Second)
		p.finish()
		c.Check(p.poison[poisonPath+"1"].sendsAfterThirdEnd(time.Second), qt.Equals, 0)
		c.Check(p.poison[poisonPath+"2"].sendsAfterThirdEnd(time.Second), qt.Equals, 0)
		c.Check(p.ends() <= 8, qt.IsTrue, qt.Commentf("%d servers ended", p.ends()))
		c.Check(p.shareServed(7, 12) > 0.99, qt.IsTrue, qt.Commentf("%.3f", p.shareServed(7, 12)))
	})
}

// In a site of many servers each node hears of the ends in time.
func TestManyServersAreSpared(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPoisonSite(t, 60, 70*time.Millisecond)
		p.from = time.Now()
		p.work.Go(func() { p.askReads(6*time.Second, differentReads) })
		time.Sleep(time.Second)
		p.askPoison(4*time.Second, 40, 0, 1, 2)
		p.finish()
		p.poison[poisonPath].check(c)
		c.Check(p.shareServed(2, 6) > 0.99, qt.IsTrue, qt.Commentf("%.3f", p.shareServed(2, 6)))
	})
}

// A request that is held back is so after the loss of all nodes, by the store, and at a node that starts while the store is away, by its peers.
func TestWhatIsHeldBackOutlastsNodes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPoisonSite(t, 5, 70*time.Millisecond)
		p.askPoison(4*time.Second, 10, 0, 1, 2)
		ended := p.ends()
		c.Assert(ended >= 3, qt.IsTrue)
		time.Sleep(4 * time.Second)
		p.haltAll()
		time.Sleep(time.Second)
		p.startAll()
		time.Sleep(2 * time.Second)
		p.askPoison(3*time.Second, 10, 0, 1, 2)
		c.Check(p.ends(), qt.Equals, ended, qt.Commentf("after the loss of all nodes"))
		p.store.setDown(true)
		p.nodes[1].halt()
		p.start(1)
		time.Sleep(time.Second)
		p.askPoison(3*time.Second, 10, 1)
		p.finish()
		c.Check(p.ends(), qt.Equals, ended, qt.Commentf("at a node that has started without the store"))
	})
}

// While a zone is cut off, no news crosses; each side holds the request back by what it sees, and they agree when the cut has healed.
func TestEachSideOfACutHoldsBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPoisonSite(t, 12, 70*time.Millisecond)
		cut := p.cutZone("z2")
		time.Sleep(2 * time.Second)
		p.askPoison(6*time.Second, 12, 0, 1, 2)
		c.Check(p.ends() <= 6, qt.IsTrue, qt.Commentf("%d servers ended, three on each side may", p.ends()))
		ended := p.ends()
		cut.Store(false)
		time.Sleep(4 * time.Second)
		p.askPoison(3*time.Second, 12, 0, 1, 2)
		p.finish()
		c.Check(p.ends(), qt.Equals, ended)
	})
}

// A call of a run may end servers deep down: the root request comes again and makes the call again, with another id. The call is held back, and
// the server that made it goes on.
func TestACallThatEndsServersIsHeldBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPoisonSite(t, 9, 70*time.Millisecond)
		for _, f := range p.servers[:poisonEntries] {
			f.calls = []string{poisonPath}
		}
		p.store.put(desired.State{Version: 2, Routes: []desired.Route{
			route("read", desired.Repeatable, "a"), route("top", desired.Repeatable, "e"),
		}})
		p.settled(2)
		p.askFor("/top/x", 5*time.Second, 8, 0, 1, 2)
		p.finish()
		p.poison[poisonPath].check(c)
	})
}

// Who looks after the system sees what is held back and why, by any node, and can have it tried again; not so a caller from another VM.
func TestWhatIsHeldBackIsShownAndLifted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPoisonSite(t, 5, 70*time.Millisecond)
		p.askPoison(4*time.Second, 10, 0, 1, 2)
		ended := p.ends()
		time.Sleep(4 * time.Second)
		n := p.nodes[1]
		list := n.suspects()
		c.Assert(list, qt.Not(qt.HasLen), 0)
		c.Assert(list[0].Treatment, qt.Equals, "held back")
		c.Assert(len(list[0].Crashed) >= 3, qt.IsTrue)
		c.Assert(n.Dump().Suspects, qt.HasLen, len(list))
		call := func(method, path, from string) int {
			r := httptest.NewRequest(method, path, nil)
			r.RemoteAddr = from + ":1"
			w := httptest.NewRecorder()
			n.heldBackHandler().ServeHTTP(w, r)
			return w.Code
		}
		name := HeldBackPath + list[0].Request
		c.Assert(call("DELETE", name, "10.9.9.9"), qt.Equals, http.StatusForbidden)
		c.Assert(call("DELETE", HeldBackPath+"other", "127.0.0.1"), qt.Equals, http.StatusNotFound)
		c.Assert(call("POST", name, "127.0.0.1"), qt.Equals, http.StatusMethodNotAllowed)
		c.Assert(call("GET", HeldBackPath, "10.9.9.9"), qt.Equals, http.StatusOK)
		for _, s := range list {
			call("DELETE", HeldBackPath+s.Fingerprint.String(), n.ip)
		}
		time.Sleep(time.Second)
		for _, other := range p.nodes {
			c.Check(other.poison.AnySuspects(), qt.IsFalse, qt.Commentf("%s", other.ip))
		}
		p.askPoison(time.Second, 10, 0)
		p.finish()
		c.Assert(p.ends() > ended, qt.IsTrue, qt.Commentf("it is tried again"))
	})
}
