package callgraph

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCallersAreFoundUnderConstantDemand(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		var l Learner
		simulate(&l, start, 10*second, seed, pull, list)
		c.Check(near(l.CallsPerRun("list")["roster"], 4, 0.5), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("list")))
		c.Check(l.CallsPerRun("pull")["roster"], qt.Equals, 0.0)
	}
}

// With hundreds of runs in progress, more of them look like a caller by chance.
func TestCallersAreFoundAmongManyRuns(t *testing.T) {
	c := qt.New(t)
	many, busy := pull, list
	many.rate, busy.rate = 45, 530
	for seed := range uint64(5) {
		var l Learner
		simulate(&l, start, 6*second, seed, many, busy)
		c.Check(near(l.CallsPerRun("list")["roster"], 4, 0.5), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("list")))
		c.Check(l.CallsPerRun("pull")["roster"], qt.Equals, 0.0)
	}
}

// Callers must be found within two seconds, before an overload begins.
func TestCallersAreFoundWithinTwoSeconds(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		var l Learner
		simulate(&l, start, 2*second, seed, bill, check)
		c.Check(near(l.CallsPerRun("bill")["list"], 2, 0.3), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("bill")))
		c.Check(near(l.CallsPerRun("check")["list"], 1, 0.2), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("check")))
	}
}

func TestCallsOfTwoRoutesAreSeparated(t *testing.T) {
	c := qt.New(t)
	var l Learner
	a := simulatedKind{route: "a", rate: 30, work: 50 * time.Millisecond, limit: 5 * second, called: "x", calls: 2, callTime: 50 * time.Millisecond, callLimit: second}
	b := simulatedKind{route: "b", rate: 40, work: 10 * time.Millisecond, limit: 5 * second, called: "y", calls: 3, callTime: 40 * time.Millisecond, callLimit: second}
	simulate(&l, start, 20*second, 1, a, b)
	c.Assert(near(l.CallsPerRun("a")["x"], 2, 0.6), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("a")))
	c.Assert(near(l.CallsPerRun("b")["y"], 3, 0.6), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("b")))
	c.Assert(l.CallsPerRun("a")["y"] < 0.8, qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("a")))
	c.Assert(l.CallsPerRun("b")["x"] < 0.8, qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("b")))
}

// Where nothing distinguishes two routes, their calls must still sum up to all calls.
func TestAllCallsAreAttributed(t *testing.T) {
	c := qt.New(t)
	var l Learner
	a := simulatedKind{route: "a", rate: 10, work: 50 * time.Millisecond, limit: second, called: "x", calls: 2, callTime: 20 * time.Millisecond, callLimit: 100 * time.Millisecond}
	b := a
	b.route, b.rate = "b", 30
	simulate(&l, start, 20*second, 1, a, b)
	got := 10*l.CallsPerRun("a")["x"] + 30*l.CallsPerRun("b")["x"]
	c.Assert(near(got, 80, 8), qt.IsTrue, qt.Commentf("%v %v", l.CallsPerRun("a"), l.CallsPerRun("b")))
}

// Guards against counting failed runs: a run ends with its first failed call. If many fail, as after a restart during an
// overload, each run seems to make half of its calls, twice as many roots are admitted as can be served, and that lasts.
func TestFailedCallsDontHideThoseAfterThem(t *testing.T) {
	c := qt.New(t)
	var l Learner
	failing := list
	failing.failed = 0.3
	simulate(&l, start, 10*second, 1, failing)
	c.Assert(near(l.CallsPerRun("list")["roster"], 4, 0.5), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("list")))
}

// What was learned without failures isn't displaced by failing runs.
func TestFailingRunsDontDisplaceKnownCalls(t *testing.T) {
	c := qt.New(t)
	var l Learner
	simulate(&l, start, 10*second, 1, list, pull)
	failing := list
	failing.failed = 0.9
	simulate(&l, start.Add(10*second), 20*second, 2, failing, pull)
	c.Assert(l.CallsPerRun("list")["roster"] > 3.4, qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("list")))
	c.Assert(l.CallsPerRun("pull")["roster"] < 0.8, qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("pull")))
}

// Where no run succeeds, the failing ones count.
func TestFailingRunsCountWhereThereAreNoOthers(t *testing.T) {
	c := qt.New(t)
	var l Learner
	failing := list
	failing.failed = 1
	simulate(&l, start, 3*second, 1, failing)
	c.Assert(near(l.CallsPerRun("list")["roster"], 1, 0.1), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("list")))
}

// Guards against overestimated costs just after a start: hardly any run has ended then. By those alone, each run seemed to
// make hundreds of calls, and first attempts of all kinds were rejected for a second after every start.
func TestFirstMomentsDontOverestimateCosts(t *testing.T) {
	c := qt.New(t)
	for span := 50 * time.Millisecond; span < second; span += 50 * time.Millisecond {
		var l Learner
		simulateUntil(&l, start, span, span, 1, list, bill)
		c.Check(l.CallsPerRun("list")["roster"] < 4.5, qt.IsTrue, qt.Commentf("%v after %v", l.CallsPerRun("list"), span))
	}
}

// A slow service below makes runs longer and their calls rarer, but not fewer per run.
func TestSlowCallsDontChangeTheirNumber(t *testing.T) {
	c := qt.New(t)
	var l Learner
	simulate(&l, start, 5*second, 1, list, pull)
	slow := list
	slow.callTime *= 5
	for i := range 5 {
		simulate(&l, start.Add(time.Duration(5+i)*second), second, uint64(i), slow, pull)
		c.Check(near(l.CallsPerRun("list")["roster"], 4, 0.8), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("list")))
		c.Check(l.CallsPerRun("pull")["roster"] < 0.8, qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("pull")))
	}
}

// Guards against attributing late calls to the wrong runs: a busy node sees calls some milliseconds late, so that they seem
// to end after the runs that made them. They were attributed to runs that make none, and an urgent kind seemed to cost the
// bottom service as much as one that calls it.
func TestLateCallsAreAttributedToTheirRuns(t *testing.T) {
	c := qt.New(t)
	for _, late := range []time.Duration{0, 2, 5, 10, 20} {
		for seed := range uint64(3) {
			var l Learner
			busy := fixing
			busy.late = late * time.Millisecond
			simulate(&l, start, 5*second, seed, busy, release)
			c.Check(near(l.CallsPerRun("fixing")["index"], 4, 0.4), qt.IsTrue, qt.Commentf("%v ms late: %v", int64(late), l.CallsPerRun("fixing")))
			c.Check(l.CallsPerRun("release")["index"] < 0.4, qt.IsTrue, qt.Commentf("%v ms late: %v", int64(late), l.CallsPerRun("release")))
		}
	}
}

// Guards against a rare route as main caller: a few late calls were attributed to a route that hardly ever ran, eight to
// each of its runs. Beside these, the one call that each read makes was dropped as noise, and reads seemed to cost the
// services below nothing.
func TestARareRouteDoesntHideTheCallsOfOthers(t *testing.T) {
	c := qt.New(t)
	var l Learner
	check := &callStats{route: "check"}
	for i := range 50 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		r := l.BeginRun(now, "read", now.Add(second))
		r.add(check, 0.9)
		l.EndRun(now.Add(10*time.Millisecond), r, true)
	}
	rare := l.BeginRun(start, "rare", start.Add(second))
	rare.add(check, 8)
	l.EndRun(start.Add(second), rare, true)
	c.Assert(near(l.CallsPerRun("read")["check"], 0.9, 0.01), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("read")))
}
