package poison

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A success is remembered for some seconds, in each scope, and not much longer.
func TestSuccessesAreRememberedForALimitedTime(t *testing.T) {
	c := qt.New(t)
	var g SuccessTracker
	a := RequestContent{Service: "s", Method: "GET", URI: "/x?a=1", Caller: "c"}
	c.Assert(g.Recent(start, a), qt.Equals, RecentSuccess{})
	g.RecordSuccess(start, a)
	c.Assert(g.Recent(start.Add(successRetention), a), qt.Equals, RecentSuccess{true, true, true})
	other := a
	other.URI = "/x?a=2"
	c.Assert(g.Recent(start.Add(successRetention), other), qt.Equals, RecentSuccess{Exact: false, SamePath: true, AnyCaller: true})
	other.Caller = "d"
	c.Assert(g.Recent(start.Add(successRetention), other), qt.Equals, RecentSuccess{AnyCaller: true})
	other.Body = []byte("b")
	c.Assert(g.Recent(start.Add(successRetention), other), qt.Equals, RecentSuccess{})
	c.Assert(g.Recent(start.Add(3*successRetention), a), qt.Equals, RecentSuccess{})
}

// A tracker of exact content reports no success of a similar request.
func TestSuccessesOfExactContentAlone(t *testing.T) {
	c := qt.New(t)
	g := SuccessTracker{ExactOnly: true}
	a := RequestContent{Service: "s", Method: "GET", URI: "/x?a=1", Caller: "c"}
	g.RecordSuccess(start, a)
	c.Assert(g.Recent(start, a), qt.Equals, RecentSuccess{Exact: true})
	a.URI = "/x?a=2"
	c.Assert(g.Recent(start, a), qt.Equals, RecentSuccess{})
}

// Thousands of kinds of requests don't take more memory than the bound.
func TestSuccessesAreBounded(t *testing.T) {
	c := qt.New(t)
	var g SuccessTracker
	for i := range 3 * maxSuccesses {
		g.RecordSuccess(start, RequestContent{Service: "s", URI: fmt.Sprint("/", i)})
	}
	c.Assert(len(g.current), qt.Equals, maxSuccesses)
}

// A recently successful request needs more crashes in a row, but is quarantined in the end as well.
func TestARecentlySuccessfulRequestNeedsMoreCrashes(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range quarantineStage + successStageAllowance {
		c.Assert(x.Decide(start, identityOf("/popular")).Treatment < Quarantined, qt.IsTrue, qt.Commentf("after %d ends", i))
		e := crashOf("a", i, i, "/popular")
		e.Runs[0].RecentSuccess = RecentSuccess{true, true, true}
		x.RecordCrash(start, e)
	}
	c.Assert(x.Decide(start, identityOf("/popular")).Treatment, qt.Equals, Quarantined)
}

// A request that had succeeded was quarantined for hours the first time, once its successes had expired: all its stages counted
// as further crashes of a quarantined request.
func TestAPastSuccessDoesNotLengthenQuarantine(t *testing.T) {
	c := qt.New(t)
	var x Table
	end := func(now time.Time, i int, sound bool) {
		e := crashOf("a", i, i, "/popular")
		e.Runs[0].RecentSuccess = RecentSuccess{sound, sound, sound}
		x.RecordCrash(now, e)
	}
	for i := range quarantineStage + successStageAllowance {
		end(start, i, i == 0)
	}
	later := start.Add(defaultFirstQuarantine)
	c.Assert(x.Decide(later.Add(-time.Second), identityOf("/popular")).Remaining, qt.Equals, time.Second)
	c.Assert(x.Decide(later, identityOf("/popular")).Treatment, qt.Equals, Alone)
	end(later, quarantineStage+successStageAllowance, false)
	c.Assert(x.Decide(later, identityOf("/popular")).Remaining, qt.Equals, defaultQuarantineFactor*defaultFirstQuarantine)
	c.Assert(x.RecordSuccess(later, identityOf("/popular")), qt.HasLen, ScopeCount)
	x.RemoveExpired(later.Add(clearedRetention))
	end(later.Add(clearedRetention), 9, false)
	c.Assert(x.Decide(later.Add(clearedRetention), identityOf("/popular")).RecentlySuccessful, qt.IsFalse)
}

// BenchmarkRecordSuccess measures the cost of each successful run.
func BenchmarkRecordSuccess(b *testing.B) {
	for name, g := range map[string]*SuccessTracker{"all scopes": {}, "exact content": {ExactOnly: true}} {
		b.Run(name, func(b *testing.B) {
			a := RequestContent{Service: "xati36a", Method: "GET", Host: "rano73.example", URI: "/boda430/0000af", Caller: "wuno24d"}
			for b.Loop() {
				g.RecordSuccess(start, a)
			}
		})
	}
}
