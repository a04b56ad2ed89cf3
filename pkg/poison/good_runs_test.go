package poison

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// What ended well is known for some seconds, by each likeness, and no longer.
func TestGoodRunsAreRememberedForAWhile(t *testing.T) {
	c := qt.New(t)
	var g SuccessTracker
	a := RequestContent{Service: "s", Method: "GET", URI: "/x?a=1", Caller: "c"}
	c.Assert(g.Recent(start, a), qt.Equals, RecentSuccess{})
	g.RecordSuccess(start, a)
	c.Assert(g.Recent(start.Add(goodMemory), a), qt.Equals, RecentSuccess{true, true, true})
	other := a
	other.URI = "/x?a=2"
	c.Assert(g.Recent(start.Add(goodMemory), other), qt.Equals, RecentSuccess{Exact: false, SamePath: true, AnyCaller: true})
	other.Caller = "d"
	c.Assert(g.Recent(start.Add(goodMemory), other), qt.Equals, RecentSuccess{AnyCaller: true})
	other.Body = []byte("b")
	c.Assert(g.Recent(start.Add(goodMemory), other), qt.Equals, RecentSuccess{})
	c.Assert(g.Recent(start.Add(3*goodMemory), a), qt.Equals, RecentSuccess{})
}

// Kinds by the thousand don't take more memory than the bound.
func TestGoodRunsAreBounded(t *testing.T) {
	c := qt.New(t)
	var g SuccessTracker
	for i := range 3 * maxGoodRuns {
		g.RecordSuccess(start, RequestContent{Service: "s", URI: fmt.Sprint("/", i)})
	}
	c.Assert(len(g.current), qt.Equals, maxGoodRuns)
}

// A request whose runs end well needs more ends in a row, and is held back all the same in the end.
func TestASoundRequestNeedsMoreEnds(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range heldStage + soundEnds {
		c.Assert(x.Decide(start, idOf("/popular")).Treatment < Quarantined, qt.IsTrue, qt.Commentf("after %d ends", i))
		e := endOf("a", i, i, "/popular")
		e.Runs[0].RecentSuccess = RecentSuccess{true, true, true}
		x.RecordCrash(start, e)
	}
	c.Assert(x.Decide(start, idOf("/popular")).Treatment, qt.Equals, Quarantined)
}

// A request that had ended well was held back for hours at its first time, once its good runs were forgotten.
func TestARequestThatWasSoundIsHeldBackAsLongAsOthers(t *testing.T) {
	c := qt.New(t)
	var x Table
	end := func(now time.Time, i int, sound bool) {
		e := endOf("a", i, i, "/popular")
		e.Runs[0].RecentSuccess = RecentSuccess{sound, sound, sound}
		x.RecordCrash(now, e)
	}
	for i := range heldStage + soundEnds {
		end(start, i, i == 0)
	}
	later := start.Add(defaultHoldFirst)
	c.Assert(x.Decide(later.Add(-time.Second), idOf("/popular")).Remaining, qt.Equals, time.Second)
	c.Assert(x.Decide(later, idOf("/popular")).Treatment, qt.Equals, Alone)
	end(later, heldStage+soundEnds, false)
	c.Assert(x.Decide(later, idOf("/popular")).Remaining, qt.Equals, defaultHoldTimes*defaultHoldFirst)
	c.Assert(x.RecordSuccess(later, idOf("/popular")), qt.HasLen, ScopeCount)
	x.RemoveExpired(later.Add(clearedMemory))
	end(later.Add(clearedMemory), 9, false)
	c.Assert(x.Decide(later.Add(clearedMemory), idOf("/popular")).RecentlySuccessful, qt.IsFalse)
}

// BenchmarkGoodRuns is what each run that ends well costs.
func BenchmarkGoodRuns(b *testing.B) {
	var g SuccessTracker
	a := RequestContent{Service: "xati36a", Method: "GET", Host: "rano73.example", URI: "/boda430/0000af", Caller: "wuno24d"}
	for b.Loop() {
		g.RecordSuccess(start, a)
	}
}
