package callgraph

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// sample feeds a learner windows of a server on which runs of a make two calls of x a second while they
// are in progress, and those of b one of x and three of y.
func sample(l *Learner, rnd *rand.Rand, windows int) {
	for range windows {
		a, b := 20+20*rnd.Float64(), 40+40*rnd.Float64()
		noise := func() float64 { return 0.9 + 0.2*rnd.Float64() }
		l.Observe(Sample{
			Busy: Rates{"a": a, "b": b}, Ended: Rates{"a": a, "b": b},
			Calls: Rates{"x": (2*a + b) * noise(), "y": 3 * b * noise()},
		}, 1)
	}
}

func near(got, want, within float64) bool { return math.Abs(got-want) <= within }

func TestCallsOfEachRouteAreToldApart(t *testing.T) {
	c := qt.New(t)
	var l Learner
	sample(&l, rand.New(rand.NewPCG(1, 2)), 200)
	a, b := l.Calls("a"), l.Calls("b")
	c.Assert(near(a["x"], 2, 0.6), qt.IsTrue, qt.Commentf("%v", a))
	c.Assert(near(b["x"], 1, 0.4), qt.IsTrue, qt.Commentf("%v", b))
	c.Assert(near(b["y"], 3, 0.6), qt.IsTrue, qt.Commentf("%v", b))
	c.Assert(a["y"] < 0.6, qt.IsTrue, qt.Commentf("%v", a))
}

func TestAMixThatStandsStillGivesTheAverage(t *testing.T) {
	c := qt.New(t)
	var l Learner
	for range 50 {
		l.Observe(Sample{Busy: Rates{"a": 10, "b": 30}, Ended: Rates{"a": 10, "b": 30}, Calls: Rates{"x": 80}}, 1)
	}
	a, b := l.Calls("a"), l.Calls("b")
	c.Assert(near(10*a["x"]+30*b["x"], 80, 2), qt.IsTrue, qt.Commentf("%v %v", a, b))
}

// What was learned well isn't pushed out by many samples of little weight, and they are better than none.
func TestSamplesOfLittleWeightCountWhereThereAreNoOthers(t *testing.T) {
	c := qt.New(t)
	poor := Sample{Busy: Rates{"a": 5}, Ended: Rates{"a": 50}, Calls: Rates{"x": 50}}
	var l Learner
	for range 10 {
		l.Observe(poor, 0.02)
	}
	c.Assert(near(l.Calls("a")["x"], 1, 0.1), qt.IsTrue, qt.Commentf("%v", l.Calls("a")))
	var taught Learner
	for range 200 {
		taught.Observe(Sample{Busy: Rates{"a": 5}, Ended: Rates{"a": 50}, Calls: Rates{"x": 200}}, 1)
	}
	for range 300 {
		taught.Observe(poor, 0.02)
	}
	c.Assert(taught.Calls("a")["x"] > 3.7, qt.IsTrue, qt.Commentf("%v", taught.Calls("a")))
}

// In the first moments hardly any run has ended. Going by those alone, each run seemed to make hundreds of
// calls, and first attempts of all kinds were refused for a second after every start.
func TestTheFirstMomentsDontMakeRunsLookDear(t *testing.T) {
	c := qt.New(t)
	var l Learner
	l.Observe(Sample{Busy: Rates{"a": 10}, Begun: Rates{"a": 100}, Ended: Rates{"a": 1}, Calls: Rates{"x": 200}}, 1)
	c.Assert(l.Calls("a")["x"] < 2.1, qt.IsTrue, qt.Commentf("%v", l.Calls("a")))
}

func TestForgottenRoutesLeaveNothingBehind(t *testing.T) {
	c := qt.New(t)
	var l Learner
	l.Observe(Sample{Busy: Rates{"old": 5}, Ended: Rates{"old": 5}, Calls: Rates{"x": 5}}, 1)
	for range 10000 {
		l.Observe(Sample{Busy: Rates{"new": 5}, Ended: Rates{"new": 5}, Calls: Rates{"y": 5}}, 1)
	}
	c.Assert(l.Calls("old"), qt.HasLen, 0)
	c.Assert(near(l.Calls("new")["y"], 1, 0.01), qt.IsTrue)
	c.Assert(l.Calls("new")["x"], qt.Equals, 0.0)
}

// A service below that slows down makes runs longer and their calls rarer, but not fewer.
func TestSlowCallsDontChangeTheirNumber(t *testing.T) {
	c := qt.New(t)
	var l Learner
	for range 100 {
		l.Observe(Sample{Busy: Rates{"a": 5}, Ended: Rates{"a": 50}, Calls: Rates{"x": 100}}, 1)
	}
	for range 20 {
		l.Observe(Sample{Busy: Rates{"a": 50}, Ended: Rates{"a": 50}, Calls: Rates{"x": 100}}, 1)
		c.Assert(near(l.Calls("a")["x"], 2, 0.6), qt.IsTrue, qt.Commentf("%v", l.Calls("a")))
	}
}

func TestCostWalksDownTheGraph(t *testing.T) {
	c := qt.New(t)
	graph := Graph{"top": {"root": {"mid": 2}}, "middle": {"mid": {"leaf": 4}}}
	places := map[string]Place{
		"root": {Shares: map[string]float64{"top": 1}, Hold: 0.1},
		"mid":  {Shares: map[string]float64{"middle": 1}, Hold: 0.05},
		"leaf": {Shares: map[string]float64{"bottom": 0.5, "other": 0.5}, Hold: 0.02},
	}
	cost := Costs(graph, places)["root"]
	slots, runs := cost.Slots, cost.Runs
	c.Assert(near(runs["bottom"], 4, 0.01), qt.IsTrue, qt.Commentf("%v", runs))
	c.Assert(near(slots["bottom"], 0.08, 0.001), qt.IsTrue, qt.Commentf("%v", slots))
	c.Assert(near(slots["top"], 0.1, 1e-9), qt.IsTrue)
}

func TestACycleEnds(t *testing.T) {
	c := qt.New(t)
	graph := Graph{"s": {"r": {"r": 0.9}}}
	runs := Costs(graph, map[string]Place{"r": {Shares: map[string]float64{"s": 1}, Hold: 1}})["r"].Runs
	c.Assert(runs["s"], qt.Equals, 1.0)
}

// Stray calls of everything by everything once made the walk take exponential time.
func TestAGraphInWhichAllCallAllEnds(t *testing.T) {
	c := qt.New(t)
	graph, places := Graph{"s": {}}, map[string]Place{}
	all := Rates{}
	for i := range 22 {
		name := string(rune('a' + i))
		all[name] = 1
		graph["s"][name] = all
		places[name] = Place{Shares: map[string]float64{"s": 1}, Hold: 0.1}
	}
	c.Assert(Costs(graph, places), qt.HasLen, 22)
}

func BenchmarkSampleOfTwelveRoutes(b *testing.B) {
	var l Learner
	rnd := rand.New(rand.NewPCG(1, 2))
	runs, calls := Rates{}, Rates{}
	for i := range 12 {
		name := string(rune('a' + i))
		runs[name] = 10 * rnd.Float64()
		calls["x"+name] = 20 * rnd.Float64()
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Observe(Sample{Busy: runs, Ended: runs, Calls: calls}, 1)
		l.Calls("a")
	}
}
