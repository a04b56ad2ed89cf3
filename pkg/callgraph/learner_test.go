package callgraph

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// sample feeds a learner windows of a service on which a makes two calls of x, and b one of x and three of y.
func sample(l *Learner, rnd *rand.Rand, windows int) {
	for range windows {
		a, b := 20+20*rnd.Float64(), 40+40*rnd.Float64()
		noise := func() float64 { return 0.9 + 0.2*rnd.Float64() }
		l.Observe("s", Rates{"a": a, "b": b}, Rates{"x": (2*a + b) * noise(), "y": 3 * b * noise()})
	}
}

func near(got, want, within float64) bool { return math.Abs(got-want) <= within }

func TestCallsOfEachRouteAreToldApart(t *testing.T) {
	c := qt.New(t)
	var l Learner
	sample(&l, rand.New(rand.NewPCG(1, 2)), 200)
	a, b := l.Calls("s", "a"), l.Calls("s", "b")
	c.Assert(near(a["x"], 2, 0.6), qt.IsTrue, qt.Commentf("%v", a))
	c.Assert(near(b["x"], 1, 0.4), qt.IsTrue, qt.Commentf("%v", b))
	c.Assert(near(b["y"], 3, 0.6), qt.IsTrue, qt.Commentf("%v", b))
	c.Assert(a["y"] < 0.6, qt.IsTrue, qt.Commentf("%v", a))
}

func TestAMixThatStandsStillGivesTheAverage(t *testing.T) {
	c := qt.New(t)
	var l Learner
	for range 50 {
		l.Observe("s", Rates{"a": 10, "b": 30}, Rates{"x": 80})
	}
	a, b := l.Calls("s", "a"), l.Calls("s", "b")
	c.Assert(near(10*a["x"]+30*b["x"], 80, 2), qt.IsTrue, qt.Commentf("%v %v", a, b))
}

func TestForgottenRoutesLeaveNothingBehind(t *testing.T) {
	c := qt.New(t)
	var l Learner
	l.Observe("s", Rates{"old": 5}, Rates{"x": 5})
	for range 2000 {
		l.Observe("s", Rates{"new": 5}, Rates{"y": 5})
	}
	c.Assert(l.Calls("s", "old"), qt.HasLen, 0)
	c.Assert(near(l.Calls("s", "new")["y"], 1, 0.01), qt.IsTrue)
	c.Assert(l.Calls("s", "new")["x"], qt.Equals, 0.0)
}

func TestCostWalksDownTheGraph(t *testing.T) {
	c := qt.New(t)
	var l Learner
	for range 20 {
		l.Observe("top", Rates{"root": 10}, Rates{"mid": 20})
		l.Observe("middle", Rates{"mid": 20}, Rates{"leaf": 80})
	}
	places := map[string]Place{
		"root": {Shares: map[string]float64{"top": 1}, Hold: 0.1},
		"mid":  {Shares: map[string]float64{"middle": 1}, Hold: 0.05},
		"leaf": {Shares: map[string]float64{"bottom": 0.5, "other": 0.5}, Hold: 0.02},
	}
	cost := l.Costs(places)["root"]
	slots, runs := cost.Slots, cost.Runs
	c.Assert(near(runs["bottom"], 4, 0.01), qt.IsTrue, qt.Commentf("%v", runs))
	c.Assert(near(slots["bottom"], 0.08, 0.001), qt.IsTrue, qt.Commentf("%v", slots))
	c.Assert(near(slots["top"], 0.1, 1e-9), qt.IsTrue)
}

func TestACycleEnds(t *testing.T) {
	c := qt.New(t)
	var l Learner
	l.Observe("s", Rates{"r": 10}, Rates{"r": 9})
	runs := l.Costs(map[string]Place{"r": {Shares: map[string]float64{"s": 1}, Hold: 1}})["r"].Runs
	c.Assert(runs["s"], qt.Equals, 1.0)
}

// Stray calls of everything by everything once made the walk take exponential time.
func TestAGraphInWhichAllCallAllEnds(t *testing.T) {
	c := qt.New(t)
	var l Learner
	runs, calls, places := Rates{}, Rates{}, map[string]Place{}
	for i := range 22 {
		name := string(rune('a' + i))
		runs[name], calls[name] = 1, 1
		places[name] = Place{Shares: map[string]float64{"s": 1}, Hold: 0.1}
	}
	l.Observe("s", runs, calls)
	c.Assert(l.Costs(places), qt.HasLen, 22)
}

func BenchmarkPlanOfTwelveRoutes(b *testing.B) {
	var l Learner
	rnd := rand.New(rand.NewPCG(1, 2))
	runs, calls, places := Rates{}, Rates{}, map[string]Place{}
	for i := range 12 {
		name := string(rune('a' + i))
		runs[name] = 10 * rnd.Float64()
		calls["x"+name] = 20 * rnd.Float64()
		places[name] = Place{Shares: map[string]float64{"s": 1}, Hold: 0.1}
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Observe("s", runs, calls)
		l.Costs(places)
	}
}
