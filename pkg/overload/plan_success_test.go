package overload

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// lossyKind returns a kind that makes calls to the service "low", with the probability that all of them succeed.
func lossyKind(name string, priority int, rate, success float64) KindDemand {
	return KindDemand{
		Kind: name, Priority: priority, Fresh: rate, SlotSeconds: map[string]float64{"low": 0.1}, Success: success,
		SuccessAt: map[string]float64{"low": success}, Services: []string{"top"},
	}
}

func TestSlotsGoToKindsThatSucceed(t *testing.T) {
	c := qt.New(t)
	low := map[string]float64{"low": 10}
	plan := func(success float64) map[string]Share {
		return PlanShares([]KindDemand{lossyKind("a", 1, 100, success), lossyKind("b", 1, 100, 1)}, low)
	}
	c.Assert(plan(0), qt.DeepEquals, plan(1), qt.Commentf("0 stands for unknown"))
	c.Assert(plan(0.6)["b"].Fresh > 1.4*plan(0.6)["a"].Fresh, qt.IsTrue, qt.Commentf("%v", plan(0.6)))
	hopeless := plan(0.1)
	c.Assert(math.Abs(hopeless["a"].Fresh-probingShare) < 1e-9 && hopeless["b"].Fresh == 1, qt.IsTrue, qt.Commentf("%v", hopeless))
	alone := PlanShares([]KindDemand{lossyKind("a", 1, 100, 0.1)}, low)
	c.Assert(alone["a"].Fresh > 1, qt.IsFalse)
	c.Assert(alone["a"].Fresh > 0.9, qt.IsTrue, qt.Commentf("no other kind needs the slots: %v", alone))
	spare := PlanShares([]KindDemand{lossyKind("a", 1, 20, 0.1), lossyKind("b", 1, 20, 1)}, low)
	c.Assert(spare["a"].Fresh, qt.Equals, 1.0, qt.Commentf("there are slots for both"))
}

// Guards against the most urgent kind losing most of its requests midway while less urgent ones fill the service.
func TestUrgentKindGetsSlotsForItsLosses(t *testing.T) {
	c := qt.New(t)
	low := map[string]float64{"low": 20}
	other := lossyKind("look", 2, 200, 1)
	other.Services = []string{"elsewhere"}
	before := PlanShares([]KindDemand{lossyKind("bill", 0, 100, 1), other}, low)
	lossy := PlanShares([]KindDemand{lossyKind("bill", 0, 100, 0.15), other}, low)
	c.Assert(lossy["bill"].Fresh, qt.Equals, 1.0, qt.Commentf("it isn't limited for a less urgent kind"))
	c.Assert(lossy["look"].Fresh < before["look"].Fresh-0.15, qt.IsTrue, qt.Commentf("%v %v", before, lossy))
}

// No kind is served less often than a less urgent kind of the same service that shares a bottleneck, losses included, and
// no service gets more than its target.
func TestUrgentKindsAreServedAtLeastAsOftenDespiteLosses(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		capacity := map[string]float64{"s0": rapid.Float64Range(0.1, 50).Draw(r, "c0"), "s1": rapid.Float64Range(0.1, 50).Draw(r, "c1")}
		var roots []KindDemand
		for i := range rapid.IntRange(1, 5).Draw(r, "kinds") {
			k := KindDemand{
				Kind: fmt.Sprint(i), Priority: rapid.IntRange(0, 2).Draw(r, "priority"), Fresh: rapid.Float64Range(0.1, 200).Draw(r, "fresh"),
				Returning: rapid.Float64Range(0, 50).Draw(r, "back"), Services: []string{fmt.Sprint("s", rapid.IntRange(0, 1).Draw(r, "own"))},
				SlotSeconds: map[string]float64{}, SuccessAt: map[string]float64{}, Success: 1,
			}
			for s := range capacity {
				k.SlotSeconds[s] = rapid.Float64Range(0.01, 0.5).Draw(r, "cost")
				k.SuccessAt[s] = rapid.Float64Range(0.01, 1).Draw(r, "success")
				k.Success *= k.SuccessAt[s]
			}
			roots = append(roots, k)
		}
		shares := PlanShares(roots, capacity)
		bottlenecks := BottleneckServices(roots, shares, capacity)
		first := Options{}.planShares(roots, Options{}.targets(roots, capacity))
		probing := probingShares(roots, first, BottleneckServices(roots, first, capacity))
		for s, available := range capacity {
			used := 0.0
			for _, k := range roots {
				used += k.SlotSeconds[s] * (k.Fresh*shares[k.Kind].Fresh + k.Returning*shares[k.Kind].Returning)
			}
			if used > available*TargetUtilization+1e-6 {
				r.Fatalf("%s has %v of %v", s, used, available)
			}
		}
		for i := range roots {
			for j := range roots {
				u, k := &roots[i], &roots[j]
				if _, probed := probing[u.Kind]; probed || u.Priority >= k.Priority || !u.competesWith(k, bottlenecks) {
					continue
				}
				if shares[u.Kind].Fresh*u.Success < shares[k.Kind].Fresh*k.Success-1e-9 {
					r.Fatalf("%v has %v, %v has %v", u, shares[u.Kind], k, shares[k.Kind])
				}
			}
		}
	})
}

// With eight calls a request a rejected share of 0.1 fails more than half of the requests.
func TestFewerRejectionsAreToleratedOfChains(t *testing.T) {
	c := qt.New(t)
	fraction := func(calls, rejected float64) float64 {
		var u UsableFractionController
		now := time.Unix(1000, 0)
		for range 80 {
			now = now.Add(100 * time.Millisecond)
			u.Observe(now, GateLoad{RejectedShare: rejected, Utilization: 1, CallsPerRequest: calls})
		}
		return u.UsableFraction()
	}
	c.Assert(fraction(0, 0.2), qt.Equals, 1.0)
	c.Assert(fraction(1, 0.2), qt.Equals, 1.0)
	c.Assert(fraction(8, 0.1) < 0.8, qt.IsTrue, qt.Commentf("%v", fraction(8, 0.1)))
	c.Assert(fraction(8, 0.03), qt.Equals, 1.0)
	c.Assert(math.Abs(GateLoad{CallsPerRequest: 8}.toleratedRejections()-0.0353) < 1e-4, qt.IsTrue)
}

func TestCallsPerRequestAreWeightedByAdmittedRequests(t *testing.T) {
	c := qt.New(t)
	roots := []KindDemand{
		{Kind: "list", Fresh: 100, Runs: map[string]float64{"top": 1, "low": 8}},
		{Kind: "get", Fresh: 100, Runs: map[string]float64{"low": 1}},
		{Kind: "trace", Fresh: 100, Runs: map[string]float64{"top": 1, "low": 0.05}},
	}
	calls := CallsPerRequest(roots, map[string]Share{"list": {Fresh: 0.5}, "get": {Fresh: 1}})
	c.Assert(calls, qt.DeepEquals, map[string]float64{"top": 1, "low": (400.0 + 100) / 150})
	c.Assert(CallsPerRequest(roots, nil)["low"], qt.Equals, (800.0+100+5)/205)
}

// Guards against root requests that use up the tokens which calls below them need.
func TestRetriesOfRootsLeaveTokensToCalls(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := RetryBudget{Burst: 10}
	one := map[string]float64{"low": 1}
	retries := func(withdraw func() bool) (n int) {
		for withdraw() {
			n++
		}
		return n
	}
	chains := map[string]float64{"low": 8}
	c.Assert(retries(func() bool { return b.TryWithdrawForRoot(now, one, chains) }), qt.Equals, 9, qt.Commentf("until less than two are left"))
	c.Assert(b.TryWithdraw(now, one), qt.IsTrue)
	b = RetryBudget{Burst: 10}
	c.Assert(retries(func() bool { return b.TryWithdrawForRoot(now, one, map[string]float64{"low": 1}) }), qt.Equals, 10)
}
