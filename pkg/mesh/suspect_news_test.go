package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/poison"
)

// endOfMany is the end of a server with so many runs, with names as long as usual.
func endOfMany(runs int) poison.Crash {
	e := poison.Crash{Lifetime: poison.Lifetime{Host: "10.1.0.13", Instance: "i-5256e9e962/17"}, Service: "xati36a"}
	for i := range runs {
		a := poison.RequestContent{Service: e.Service, Method: "GET", Host: "rano73.example", URI: fmt.Sprintf("/boda430/%06x", i), Caller: "wuno24d"}
		e.Runs = append(e.Runs, poison.Run{Identity: a.Identity(), Route: "r-brp9d3m", Request: "680674fc7cfe4b36"})
	}
	return e
}

// The news of the end of a server is as large as what ran there: 46 runs, the most of eight ends in one played day.
func TestNewsOfAnEndIsSmall(t *testing.T) {
	c := qt.New(t)
	body, err := pack(message{SuspectsOnly: true, Crashes: []poison.Crash{endOfMany(46)}})
	c.Assert(err, qt.IsNil)
	t.Logf("%d bytes", len(body))
	c.Assert(len(body) < 5<<10, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
	var back message
	c.Assert(unpack(body, &back), qt.IsNil)
	c.Assert(back.Crashes, qt.DeepEquals, []poison.Crash{endOfMany(46)})
}

// News ages while it is kept, is told for two seconds, and never more than a message holds; only what was cleared here is told by itself.
func TestNewsOfSuspectsIsBounded(t *testing.T) {
	c := qt.New(t)
	var s suspectNews
	now := time.Unix(1000, 0)
	for range 100 {
		s.addEnd(now, endOfMany(20))
		s.addCase(now, poison.Case{Age: time.Second})
	}
	c.Assert(s.flushAt.IsZero(), qt.IsTrue)
	s.addCleared(now, poison.Case{Age: time.Second})
	c.Assert(s.cleared, qt.HasLen, 1)
	c.Assert(s.flushAt, qt.Equals, now.Add(clearPause))
	ends, cases := s.recent(now.Add(time.Second))
	c.Assert(ends, qt.HasLen, maxNewsRuns/20)
	c.Assert(cases, qt.HasLen, maxSuspectNews)
	c.Assert(ends[0].Age, qt.Equals, time.Second)
	c.Assert(cases[0].Age, qt.Equals, 2*time.Second)
	ends, cases = s.recent(now.Add(suspectNewsTime))
	c.Assert(len(ends)+len(cases), qt.Equals, 0)
}

// Between zones no exchange carries the news again.
func TestNewsOfSuspectsCrossesZonesOnce(t *testing.T) {
	c := qt.New(t)
	a := newFetchingNode()
	a.control.suspects.addEnd(a.clock.Now(), endOfMany(3))
	a.control.suspects.addCase(a.clock.Now(), poison.Case{})
	near, far := a.newMessage("a"), a.newMessage("b")
	c.Assert(near.Crashes, qt.HasLen, 1)
	c.Assert(near.Cases, qt.HasLen, 1)
	c.Assert(len(far.Crashes)+len(far.Cases), qt.Equals, 0)
}

// News of an end goes to nodes, not to seeds, which may be the same ones again: of a zone of four all are told.
func TestNewsOfAnEndGoesToEachNodeOnce(t *testing.T) {
	c := qt.New(t)
	a := newFetchingNode()
	a.cfg.Seeds = []string{"n1:2", "n2:2", "n3:2"}
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 4 {
			a.control.directory.Merge(directory.Record{Host: fmt.Sprint(zone, i), Zone: zone, Generation: 1})
		}
	}
	targets := a.newsTargets(endNear, endFar)
	c.Assert(targets, qt.HasLen, 4+2*endFar)
	seen := map[exchangeTarget]bool{}
	near := 0
	for _, x := range targets {
		c.Check(seen[x], qt.IsFalse)
		seen[x] = true
		if x.zone == "a" {
			near++
		}
	}
	c.Assert(near, qt.Equals, 4)
	c.Assert(a.newsTargets(endRelay, 0), qt.HasLen, endRelay)
}

// News of ends that names servers nobody knows takes no memory beyond the table's bounds.
func TestNewsOfUnknownServersMakesNoPeers(t *testing.T) {
	c := qt.New(t)
	a := newFetchingNode()
	var ends []poison.Crash
	for i := range 1000 {
		e := endOfMany(1)
		e.Lifetime.Host = fmt.Sprint("10.9.0.", i)
		ends = append(ends, e)
	}
	before := len(a.peers)
	a.takeSuspects(a.clock.Now(), ends, nil)
	c.Assert(len(a.peers), qt.Equals, before)
}

// A server's node tries a copy alone where its sender knows of two ends in a row, though it doesn't know that itself; who has waited goes by what is known here.
func TestWhatTheSenderKnowsCountsAtTheServer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := &backend{n: newFetchingNode().Node}
		told := func() *request { return &request{call: call{Stages: poison.Stages{0, 0, 2}}} }
		done, refusal := b.tryAtServer(t.Context(), told())
		c.Assert(refusal, qt.IsNil)
		begun := time.Now()
		time.AfterFunc(trialWait/2, done)
		second := told()
		_, refusal = b.tryAtServer(t.Context(), second)
		c.Assert(refusal, qt.IsNil)
		c.Assert(time.Since(begun), qt.Equals, trialWait/2)
		c.Assert(second.Stages.Suspected(), qt.IsFalse, qt.Commentf("here nothing is known against it"))
		_, refusal = b.tryAtServer(t.Context(), &request{})
		c.Assert(refusal, qt.IsNil)
	})
}
