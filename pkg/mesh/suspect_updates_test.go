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

// crashWithRuns returns the crash of a server with the number of runs, with names of the usual length.
func crashWithRuns(runs int) poison.Crash {
	e := poison.Crash{Lifetime: poison.Lifetime{Host: "10.1.0.13", Instance: "i-5256e9e962/17"}, Service: "xati36a"}
	for i := range runs {
		a := poison.RequestContent{Service: e.Service, Method: "GET", Host: "rano73.example", URI: fmt.Sprintf("/boda430/%06x", i), Caller: "wuno24d"}
		e.Runs = append(e.Runs, poison.Run{Identity: a.Identity(), Route: "r-brp9d3m", Request: "680674fc7cfe4b36"})
	}
	return e
}

// The update about a crash grows with the runs at the server: 46 runs are the most among eight crashes in a simulated
// day.
func TestCrashUpdateIsSmall(t *testing.T) {
	c := qt.New(t)
	body, err := pack(message{SuspectsOnly: true, Crashes: []poison.Crash{crashWithRuns(46)}})
	c.Assert(err, qt.IsNil)
	t.Logf("%d bytes", len(body))
	c.Assert(len(body) < 5<<10, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
	var back message
	c.Assert(unpack(body, &back), qt.IsNil)
	c.Assert(back.Crashes, qt.DeepEquals, []poison.Crash{crashWithRuns(46)})
}

// Updates age while they are retained, are sent for two seconds, and never exceed the bounds of a message; only locally
// cleared cases are sent on their own.
func TestSuspectUpdatesAreBounded(t *testing.T) {
	c := qt.New(t)
	var s suspectUpdates
	now := time.Unix(1000, 0)
	for range 100 {
		s.addCrash(now, crashWithRuns(20))
		s.addCase(now, poison.Case{Age: time.Second})
	}
	c.Assert(s.sendClearedAt.IsZero(), qt.IsTrue)
	s.addCleared(now, poison.Case{Age: time.Second})
	c.Assert(s.cleared, qt.HasLen, 1)
	c.Assert(s.sendClearedAt, qt.Equals, now.Add(clearedBatchTime))
	crashes, cases := s.recent(now.Add(time.Second))
	c.Assert(crashes, qt.HasLen, maxUpdateRuns/20)
	c.Assert(cases, qt.HasLen, maxCaseUpdates)
	c.Assert(crashes[0].Age, qt.Equals, time.Second)
	c.Assert(cases[0].Age, qt.Equals, 2*time.Second)
	crashes, cases = s.recent(now.Add(suspectUpdateTime))
	c.Assert(len(crashes)+len(cases), qt.Equals, 0)
}

// Exchanges between zones don't repeat updates that were already sent across zones.
func TestSuspectUpdatesAreNotExchangedAcrossZones(t *testing.T) {
	c := qt.New(t)
	a := newFetchingNode()
	a.control.suspects.addCrash(a.clock.Now(), crashWithRuns(3))
	a.control.suspects.addCase(a.clock.Now(), poison.Case{})
	near, far := a.newMessage("a"), a.newMessage("b")
	c.Assert(near.Crashes, qt.HasLen, 1)
	c.Assert(near.Cases, qt.HasLen, 1)
	c.Assert(len(far.Crashes)+len(far.Cases), qt.Equals, 0)
}

// A crash is sent to known nodes only, not to seeds, which may be the same nodes again: all nodes of a zone of four
// receive it.
func TestCrashIsSentToEachNodeOnce(t *testing.T) {
	c := qt.New(t)
	a := newFetchingNode()
	a.cfg.Seeds = []string{"n1:2", "n2:2", "n3:2"}
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 4 {
			a.control.directory.Merge(directory.Record{Host: fmt.Sprint(zone, i), Zone: zone, Generation: 1})
		}
	}
	targets := a.updateTargets(crashNearNodes, crashFarNodes)
	c.Assert(targets, qt.HasLen, 4+2*crashFarNodes)
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
	c.Assert(a.updateTargets(crashRelayNodes, 0), qt.HasLen, crashRelayNodes)
}

// Crash updates about unknown servers must not use memory beyond the bounds of the table.
func TestCrashesOfUnknownServersCreateNoPeers(t *testing.T) {
	c := qt.New(t)
	a := newFetchingNode()
	var crashes []poison.Crash
	for i := range 1000 {
		e := crashWithRuns(1)
		e.Lifetime.Host = fmt.Sprint("10.9.0.", i)
		crashes = append(crashes, e)
	}
	before := len(a.peers)
	a.applySuspectUpdates(a.clock.Now(), crashes, nil)
	c.Assert(len(a.peers), qt.Equals, before)
}

// A node tries a copy alone if the sender knows of two crashes in a row, even if the node doesn't. A request that has
// waited is treated by what the node itself knows.
func TestSenderStagesCountAtTheServer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := &backend{n: newFetchingNode().Node}
		suspect := func() *request { return &request{peerCall: peerCall{Stages: poison.Stages{0, 0, 2}}} }
		done, refusal := b.awaitTrialTurn(t.Context(), suspect())
		c.Assert(refusal, qt.IsNil)
		started := time.Now()
		time.AfterFunc(trialWait/2, done)
		second := suspect()
		_, refusal = b.awaitTrialTurn(t.Context(), second)
		c.Assert(refusal, qt.IsNil)
		c.Assert(time.Since(started), qt.Equals, trialWait/2)
		c.Assert(second.Stages.Suspected(), qt.IsFalse, qt.Commentf("this node knows no case against it"))
		_, refusal = b.awaitTrialTurn(t.Context(), &request{})
		c.Assert(refusal, qt.IsNil)
	})
}
