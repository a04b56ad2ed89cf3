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
	var g GoodRuns
	a := Asked{Service: "s", Method: "GET", URI: "/x?a=1", Caller: "c"}
	c.Assert(g.Of(start, a), qt.Equals, Sound{})
	g.Add(start, a)
	c.Assert(g.Of(start.Add(goodMemory), a), qt.Equals, Sound{true, true, true})
	other := a
	other.URI = "/x?a=2"
	c.Assert(g.Of(start.Add(goodMemory), other), qt.Equals, Sound{Exact: false, SamePath: true, AnyCaller: true})
	other.Caller = "d"
	c.Assert(g.Of(start.Add(goodMemory), other), qt.Equals, Sound{AnyCaller: true})
	other.Body = []byte("b")
	c.Assert(g.Of(start.Add(goodMemory), other), qt.Equals, Sound{})
	c.Assert(g.Of(start.Add(3*goodMemory), a), qt.Equals, Sound{})
}

// Kinds by the thousand don't take more memory than the bound.
func TestGoodRunsAreBounded(t *testing.T) {
	c := qt.New(t)
	var g GoodRuns
	for i := range 3 * maxGoodRuns {
		g.Add(start, Asked{Service: "s", URI: fmt.Sprint("/", i)})
	}
	c.Assert(len(g.current), qt.Equals, maxGoodRuns)
}

// A request whose runs end well needs more ends in a row, and is held back all the same in the end.
func TestASoundRequestNeedsMoreEnds(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range heldStage + soundEnds {
		c.Assert(x.Judge(start, idOf("/popular")).Treatment < HeldBack, qt.IsTrue, qt.Commentf("after %d ends", i))
		e := endOf("a", i, i, "/popular")
		e.Runs[0].Sound = Sound{true, true, true}
		x.TakeEnd(start, e)
	}
	c.Assert(x.Judge(start, idOf("/popular")).Treatment, qt.Equals, HeldBack)
}

// A request that had ended well was held back for hours at its first time, once its good runs were forgotten.
func TestARequestThatWasSoundIsHeldBackAsLongAsOthers(t *testing.T) {
	c := qt.New(t)
	var x Table
	end := func(now time.Time, i int, sound bool) {
		e := endOf("a", i, i, "/popular")
		e.Runs[0].Sound = Sound{sound, sound, sound}
		x.TakeEnd(now, e)
	}
	for i := range heldStage + soundEnds {
		end(start, i, i == 0)
	}
	later := start.Add(defaultHoldFirst)
	c.Assert(x.Judge(later.Add(-time.Second), idOf("/popular")).For, qt.Equals, time.Second)
	c.Assert(x.Judge(later, idOf("/popular")).Treatment, qt.Equals, Alone)
	end(later, heldStage+soundEnds, false)
	c.Assert(x.Judge(later, idOf("/popular")).For, qt.Equals, defaultHoldTimes*defaultHoldFirst)
	c.Assert(x.Clear(later, idOf("/popular")), qt.HasLen, Likenesses)
	x.Sweep(later.Add(clearedMemory))
	end(later.Add(clearedMemory), 9, false)
	c.Assert(x.Judge(later.Add(clearedMemory), idOf("/popular")).Sound, qt.IsFalse)
}

// BenchmarkGoodRuns is what each run that ends well costs.
func BenchmarkGoodRuns(b *testing.B) {
	var g GoodRuns
	a := Asked{Service: "xati36a", Method: "GET", Host: "rano73.example", URI: "/boda430/0000af", Caller: "wuno24d"}
	for b.Loop() {
		g.Add(start, a)
	}
}
