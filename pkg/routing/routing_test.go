package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

var begin = time.Unix(1_000_000, 0)

func newRnd() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func answered(s *Server, calls, limit int, lvl priority.Priority) {
	s.ObserveAnswer(begin, wire.Answer{Outcome: wire.Ran, CallsAtServer: calls, Limit: limit, OwnLevel: lvl})
}

func TestNearServersFirstAndSpillWhenFull(t *testing.T) {
	c := qt.New(t)
	near, far := &Server{VM: "near"}, &Server{VM: "far"}
	answered(near, 1, 10, 0)
	answered(far, 1, 10, 0)
	g := []Group{{Weight: 1, SameZone: []*Server{near}, OtherZones: []*Server{far}}}
	got, _ := Pick(begin, newRnd(), g, priority.Max, nil)
	c.Assert(got, qt.Equals, near)
	answered(near, 10, 10, 0)
	got, _ = Pick(begin, newRnd(), g, priority.Max, nil)
	c.Assert(got, qt.Equals, far)
}

// TestColdServerGetsFewCalls is the case in which a restarted server, not heard from yet, got as many
// calls as a warm one and queued them.
func TestColdServerGetsFewCalls(t *testing.T) {
	c := qt.New(t)
	warm, cold := &Server{VM: "warm"}, &Server{VM: "cold"}
	answered(warm, 4, 10, 0)
	g := []Group{{Weight: 1, SameZone: []*Server{warm, cold}}}
	first, _ := Pick(begin, newRnd(), g, priority.Max, nil)
	c.Assert(first, qt.Equals, warm)
	answered(warm, 9, 10, 0)
	second, _ := Pick(begin, newRnd(), g, priority.Max, nil)
	c.Assert(second, qt.Equals, cold)
	cold.Begin()
	third, _ := Pick(begin, newRnd(), g, priority.Max, nil)
	c.Assert(third, qt.Equals, warm)
}

func TestLevelsAndTriedServersAreSkipped(t *testing.T) {
	c := qt.New(t)
	a, b := &Server{VM: "a"}, &Server{VM: "b"}
	answered(a, 0, 10, priority.Floor(2))
	g := []Group{{Weight: 1, SameZone: []*Server{a, b}}}
	for range 20 {
		got, _ := Pick(begin, newRnd(), g, priority.Floor(1), nil)
		c.Assert(got, qt.Equals, b)
	}
	_, o := Pick(begin, newRnd(), g, priority.Floor(1), []*Server{b})
	c.Assert(o, qt.Equals, BelowLevel)
	_, o = Pick(begin, newRnd(), g, priority.Floor(3), []*Server{a, b})
	c.Assert(o, qt.Equals, NoServer)
}

func TestFailingServerIsSetAsideAndTriedWithOneCall(t *testing.T) {
	c := qt.New(t)
	s := &Server{VM: "a"}
	for range asideFailures {
		c.Assert(s.AllowCall(begin), qt.IsTrue)
		s.ObserveFailure(begin, false)
	}
	c.Assert(s.AllowCall(begin), qt.IsFalse)
	later := begin.Add(asideFirst)
	c.Assert(s.AllowCall(later), qt.IsTrue, qt.Commentf("one call on trial"))
	c.Assert(s.AllowCall(later), qt.IsFalse)
	s.ObserveFailure(later, false)
	c.Assert(s.AllowCall(later.Add(asideFirst)), qt.IsFalse, qt.Commentf("the time aside grows"))
	c.Assert(s.AllowCall(later.Add(2*asideFirst)), qt.IsTrue)
	s.ObserveAnswer(later, wire.Answer{Outcome: wire.Ran})
	c.Assert(s.AllowCall(later), qt.IsTrue)
	c.Assert(s.AllowCall(later), qt.IsTrue)
}

func TestWeightsShareTheCalls(t *testing.T) {
	c := qt.New(t)
	old, fresh := &Server{VM: "old"}, &Server{VM: "new"}
	answered(old, 0, 10, 0)
	answered(fresh, 0, 10, 0)
	g := []Group{{Weight: 9, SameZone: []*Server{old}}, {Weight: 1, SameZone: []*Server{fresh}}}
	rnd := newRnd()
	n := 0
	for range 10_000 {
		if got, _ := Pick(begin, rnd, g, priority.Max, nil); got == fresh {
			n++
		}
	}
	c.Assert(n > 800 && n < 1200, qt.IsTrue, qt.Commentf("%d of 10000", n))
	g[0].Weight = 0
	got, _ := Pick(begin, rnd, g, priority.Max, []*Server{fresh})
	c.Assert(got, qt.IsNil, qt.Commentf("a target of weight 0 gets nothing"))
}

func TestRetriesToATargetAreCapped(t *testing.T) {
	c := qt.New(t)
	s := &Server{}
	n := 0
	for s.TakeRetry() {
		n++
	}
	c.Assert(n, qt.Equals, retryBurst)
	for range 100 {
		s.EarnRetry(0.1)
	}
	n = 0
	for s.TakeRetry() {
		n++
	}
	c.Assert(n >= 9 && n <= 10, qt.IsTrue, qt.Commentf("%d retries for 100 fresh calls", n))
}

func TestSubsetIsStableAndCoversZones(t *testing.T) {
	c := qt.New(t)
	var vms []Candidate
	for i := range 30 {
		vms = append(vms, Candidate{VM: member.VM{Name: fmt.Sprint("v", i), Service: "s", Zone: fmt.Sprint("z", i%3)}})
	}
	choice := Grouper{Self: "me", Zone: "z1", MaxSubset: 9}
	got := choice.Subset(vms)
	c.Assert(got, qt.HasLen, 9)
	zones := map[string]int{}
	for _, v := range got {
		zones[v.VM.Zone]++
	}
	c.Assert(zones, qt.DeepEquals, map[string]int{"z0": 3, "z1": 3, "z2": 3})
	kept := 0
	after := choice.Subset(vms[1:])
	for _, a := range after {
		for _, b := range got {
			if a.VM.Name == b.VM.Name {
				kept++
			}
		}
	}
	c.Assert(kept >= 8, qt.IsTrue, qt.Commentf("%d kept after one VM is gone", kept))
}

func TestGroupsFollowLabels(t *testing.T) {
	c := qt.New(t)
	doc := &config.Document{Version: 1, Objects: []config.Object{
		{Kind: config.KindService, Name: "s", Labels: map[string]string{"a": "b"}, Service: &config.ServiceSpec{Slots: 1, Connections: 1}},
		{Kind: config.KindPolicy, Name: "p", Policy: &config.PolicySpec{Selector: "a=b", Targets: []config.Target{{Selector: "dc=new", Weight: 1}}}},
	}}
	plan, err := config.Compile(doc)
	c.Assert(err, qt.IsNil)
	tr := plan.Call("s", config.Match{})
	vm := func(name, dc string, leaving bool) Candidate {
		v := member.VM{Name: name, Service: "s", Zone: "z"}
		return Candidate{VM: v, Labels: v.AllLabels(map[string]string{"dc": dc}), Leaving: leaving}
	}
	var pool Pool
	groups := Grouper{Zone: "z"}.Groups(&pool, tr, []Candidate{vm("a", "old", false), vm("b", "new", false), vm("c", "new", true)})
	c.Assert(groups, qt.HasLen, 1)
	c.Assert(groups[0].SameZone, qt.HasLen, 1)
	c.Assert(groups[0].SameZone[0].VM, qt.Equals, "b")
}

func BenchmarkPick(b *testing.B) {
	g := Group{Weight: 1}
	for i := range 12 {
		s := &Server{VM: fmt.Sprint(i)}
		answered(s, i, 100, 0)
		g.SameZone = append(g.SameZone, s)
	}
	groups := []Group{g}
	rnd := newRnd()
	b.ReportAllocs()
	for b.Loop() {
		Pick(begin, rnd, groups, priority.Floor(2), nil)
	}
}
