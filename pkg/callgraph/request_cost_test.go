package callgraph

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

func near(got, want, within float64) bool { return math.Abs(got-want) <= within }

func TestCostWalksDownTheGraph(t *testing.T) {
	c := qt.New(t)
	graph := Graph{"top": {"root": {"mid": 2}}, "middle": {"mid": {"leaf": 4}}}
	places := map[string]Placement{
		"root": {Shares: map[string]float64{"top": 1}, HoldSeconds: 0.1},
		"mid":  {Shares: map[string]float64{"middle": 1}, HoldSeconds: 0.05},
		"leaf": {Shares: map[string]float64{"bottom": 0.5, "other": 0.5}, HoldSeconds: 0.02},
	}
	cost := Costs(graph, places)["root"]
	slots, runs := cost.SlotSeconds, cost.Runs
	c.Assert(near(runs["bottom"], 4, 0.01), qt.IsTrue, qt.Commentf("%v", runs))
	c.Assert(near(slots["bottom"], 0.08, 0.001), qt.IsTrue, qt.Commentf("%v", slots))
	c.Assert(near(slots["top"], 0.1, 1e-9), qt.IsTrue)
}

func TestCostsOfACycleEnd(t *testing.T) {
	c := qt.New(t)
	graph := Graph{"s": {"r": {"r": 0.9}}}
	runs := Costs(graph, map[string]Placement{"r": {Shares: map[string]float64{"s": 1}, HoldSeconds: 1}})["r"].Runs
	c.Assert(runs["s"], qt.Equals, 1.0)
}

// Guards against exponential time: stray calls make every route seem to call every other one.
func TestCostsOfACompleteGraphEnd(t *testing.T) {
	c := qt.New(t)
	graph, places := Graph{"s": {}}, map[string]Placement{}
	all := Rates{}
	for i := range 22 {
		name := string(rune('a' + i))
		all[name] = 1
		graph["s"][name] = all
		places[name] = Placement{Shares: map[string]float64{"s": 1}, HoldSeconds: 0.1}
	}
	c.Assert(Costs(graph, places), qt.HasLen, 22)
}
