package overload

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestUrgentKindsKeepTheirShare(t *testing.T) {
	c := qt.New(t)
	shares := PlanShares([]KindDemand{
		{Kind: "bill", Priority: 0, Fresh: 100, Returning: 10, SlotSeconds: map[string]float64{"low": 0.1}},
		{Kind: "look", Priority: 2, Fresh: 200, Returning: 50, SlotSeconds: map[string]float64{"low": 0.1}},
		{Kind: "pull", Priority: 2, Fresh: 50, SlotSeconds: map[string]float64{"files": 0.1}},
	}, map[string]float64{"low": 20, "files": 100})
	c.Assert(shares["bill"], qt.Equals, Share{1, 1})
	c.Assert(shares["pull"], qt.Equals, Share{1, 1})
	c.Assert(math.Abs(shares["look"].Fresh-(20*TargetUtilization-11)/20) < 0.01, qt.IsTrue, qt.Commentf("%v", shares))
	c.Assert(math.Abs(shares["look"].Returning) < 0.01, qt.IsTrue)
}

func TestUnusedCapacityGoesToOtherKinds(t *testing.T) {
	c := qt.New(t)
	shares := PlanShares([]KindDemand{
		{Kind: "a", Fresh: 100, SlotSeconds: map[string]float64{"x": 0.1, "y": 0.1}},
		{Kind: "b", Fresh: 100, SlotSeconds: map[string]float64{"y": 0.1}},
	}, map[string]float64{"x": 2, "y": 10})
	c.Assert(math.Abs(shares["a"].Fresh-2*TargetUtilization/10) < 0.01, qt.IsTrue, qt.Commentf("%v", shares))
	c.Assert(math.Abs(shares["b"].Fresh-(10*TargetUtilization-2*TargetUtilization)/10) < 0.01, qt.IsTrue, qt.Commentf("%v", shares))
}

// Learned costs are never exact: a trace of the bottleneck service in a kind's cost must not limit the kind like the
// others.
func TestTraceOfTheBottleneckDoesntLimitAKind(t *testing.T) {
	c := qt.New(t)
	shares := PlanShares([]KindDemand{
		{Kind: "look", Priority: 2, Fresh: 200, SlotSeconds: map[string]float64{"low": 0.1}},
		{Kind: "pull", Priority: 2, Fresh: 50, SlotSeconds: map[string]float64{"files": 0.1, "low": 0.01}},
	}, map[string]float64{"low": 5, "files": 100})
	c.Assert(shares["pull"].Fresh, qt.Equals, 1.0)
	c.Assert(math.Abs(shares["look"].Fresh-(5*TargetUtilization-0.5)/20) < 0.01, qt.IsTrue, qt.Commentf("%v", shares))
}

// No service gets more than its target, and a less urgent kind that needs the same services never has the larger share.
func TestPlanFitsCapacityAndKeepsPriorities(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		capacity := map[string]float64{}
		for i := range 3 {
			capacity[fmt.Sprint("s", i)] = rapid.Float64Range(0.1, 50).Draw(r, "capacity")
		}
		var roots []KindDemand
		for i := range rapid.IntRange(1, 6).Draw(r, "kinds") {
			slots := map[string]float64{}
			for s := range capacity {
				if rapid.Bool().Draw(r, "uses") {
					slots[s] = rapid.Float64Range(0.01, 0.5).Draw(r, "cost")
				}
			}
			roots = append(roots, KindDemand{
				Kind: fmt.Sprint(i), Priority: rapid.IntRange(0, 2).Draw(r, "priority"),
				Fresh: rapid.Float64Range(0.1, 200).Draw(r, "fresh"), Returning: rapid.Float64Range(0, 50).Draw(r, "back"), SlotSeconds: slots,
			})
		}
		shares := PlanShares(roots, capacity)
		for s, available := range capacity {
			used, needed := 0.0, false
			for _, k := range roots {
				sh := shares[k.Kind]
				if sh.Fresh < 0 || sh.Fresh > 1 || sh.Returning < 0 || sh.Returning > 1 {
					r.Fatalf("share %v of %s", sh, k.Kind)
				}
				used += k.SlotSeconds[s] * (k.Fresh*sh.Fresh + k.Returning*sh.Returning)
				needed = needed || k.SlotSeconds[s] > 0
			}
			if needed && used > available*TargetUtilization+1e-6 {
				r.Fatalf("%s has %v of %v", s, used, available)
			}
		}
		for _, a := range roots {
			for _, b := range roots {
				if a.Priority < b.Priority && sameServices(a, b) && shares[a.Kind].Fresh < shares[b.Kind].Fresh-1e-9 {
					r.Fatalf("%s (%d) has %v, %s (%d) has %v", a.Kind, a.Priority, shares[a.Kind], b.Kind, b.Priority, shares[b.Kind])
				}
			}
		}
	})
}

func sameServices(a, b KindDemand) bool {
	if len(a.SlotSeconds) != len(b.SlotSeconds) || len(a.SlotSeconds) == 0 {
		return false
	}
	for s := range a.SlotSeconds {
		if b.SlotSeconds[s] == 0 {
			return false
		}
	}
	return true
}

// Guards against shutting a kind out: the urgent kind's calls fill the small service, and nothing is left for the kind
// that needs only that service.
func TestUrgentKindDoesntShutOthersOut(t *testing.T) {
	c := qt.New(t)
	shares := PlanShares([]KindDemand{
		{Kind: "bill", Priority: 0, Fresh: 100, SlotSeconds: map[string]float64{"low": 0.2}},
		{Kind: "look", Priority: 2, Fresh: 200, SlotSeconds: map[string]float64{"low": 0.1}},
		{Kind: "assign", Priority: 2, Fresh: 20, SlotSeconds: map[string]float64{"low": 0.07}},
	}, map[string]float64{"low": 18})
	equalShare := 18 * TargetUtilization / (20 + 20 + 1.4)
	for _, route := range []string{"look", "assign"} {
		c.Assert(shares[route].Fresh >= minimumFraction*equalShare-1e-9, qt.IsTrue, qt.Commentf("%v", shares))
	}
	c.Assert(shares["bill"].Fresh > 1.5*shares["look"].Fresh, qt.IsTrue, qt.Commentf("%v", shares))
}

// Guards against limiting a kind for a service that it doesn't use: downloads were limited to the share of bills, whose
// calls run on the same service, though only bills use the bottleneck. Too few requests were served in all.
func TestKindIsntLimitedByAServiceThatItDoesntUse(t *testing.T) {
	c := qt.New(t)
	roots := []KindDemand{
		{Kind: "bill", Priority: 0, Fresh: 100, SlotSeconds: map[string]float64{"low": 0.2, "files": 0.1}},
		{Kind: "pull", Priority: 2, Fresh: 50, Returning: 10, SlotSeconds: map[string]float64{"files": 0.1}},
	}
	shares := PlanShares(roots, map[string]float64{"low": 12, "files": 100})
	c.Assert(math.Abs(shares["bill"].Fresh-0.6*TargetUtilization) < 1e-9, qt.IsTrue, qt.Commentf("%v", shares))
	c.Assert(shares["pull"], qt.Equals, Share{1, 1})
}

// Of two kinds of one rank, the one that takes less of the bottleneck gets the larger share, gradually.
func TestCheaperKindsGetLargerShares(t *testing.T) {
	c := qt.New(t)
	plan := func(cost float64) map[string]Share {
		return PlanShares([]KindDemand{
			{Kind: "look", Priority: 2, Fresh: 200, SlotSeconds: map[string]float64{"low": 0.065}},
			{Kind: "assign", Priority: 2, Fresh: 22, SlotSeconds: map[string]float64{"low": cost}},
		}, map[string]float64{"low": 5})
	}
	same, less, little := plan(0.065), plan(0.05), plan(0.01)
	c.Assert(math.Abs(same["assign"].Fresh-same["look"].Fresh) < 1e-3, qt.IsTrue, qt.Commentf("%v", same))
	c.Assert(less["assign"].Fresh > 1.5*less["look"].Fresh, qt.IsTrue, qt.Commentf("%v", less))
	c.Assert(less["look"].Fresh > 0.9*same["look"].Fresh, qt.IsTrue, qt.Commentf("%v", less))
	c.Assert(little["assign"].Fresh > 0.999, qt.IsTrue, qt.Commentf("%v", little))
}

// A service without a known capacity limits no kind; what minimum shares took of it made it look full.
func TestServiceOfUnknownCapacityLimitsNoKind(t *testing.T) {
	c := qt.New(t)
	roots := []KindDemand{{Kind: "a", Fresh: 100, Returning: 5, SlotSeconds: map[string]float64{"x": 0.1}}}
	c.Assert(PlanShares(roots, map[string]float64{})["a"], qt.Equals, Share{1, 1})
	c.Assert(PlanShares(roots, map[string]float64{"x": 0})["a"], qt.Equals, Share{0, 0})
}

func TestUncountedRetriesGoAfterFirstAttempts(t *testing.T) {
	c := qt.New(t)
	shares := PlanShares([]KindDemand{
		{Kind: "look", Priority: 2, Fresh: 200, SlotSeconds: map[string]float64{"low": 0.1}},
		{Kind: "pull", Priority: 2, Fresh: 50, SlotSeconds: map[string]float64{"files": 0.1}},
	}, map[string]float64{"low": 5, "files": 100})
	c.Assert(shares["look"].Returning, qt.Equals, 0.0)
	c.Assert(shares["pull"].Returning, qt.Equals, 1.0)
}
