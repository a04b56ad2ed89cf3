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

// newRnd returns a random source with a fixed seed.
func newRnd() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// observeReport records an answer at begin in which the server reports its calls, limit and admission level.
func observeReport(s *Server, calls, limit int, lvl priority.Priority) {
	s.ObserveAnswer(begin, wire.Answer{Outcome: wire.Ran, CallsAtServer: calls, Limit: limit, OwnLevel: lvl})
}

func TestCallsSpillToOtherZonesWhenTheOwnIsFull(t *testing.T) {
	c := qt.New(t)
	sameZone, otherZone := &Server{VM: "near"}, &Server{VM: "far"}
	observeReport(sameZone, 1, 10, 0)
	observeReport(otherZone, 1, 10, 0)
	g := []Group{{Weight: 1, SameZone: []*Server{sameZone}, OtherZones: []*Server{otherZone}}}
	got, _ := Pick(begin, newRnd(), g, priority.Max, nil)
	c.Assert(got, qt.Equals, sameZone)
	observeReport(sameZone, 10, 10, 0)
	got, _ = Pick(begin, newRnd(), g, priority.Max, nil)
	c.Assert(got, qt.Equals, otherZone)
}

// TestColdServerGetsFewCalls: a restarted server that hasn't answered yet must not get as many calls as a warm one, as it
// would have to queue them.
func TestColdServerGetsFewCalls(t *testing.T) {
	c := qt.New(t)
	warm, cold := &Server{VM: "warm"}, &Server{VM: "cold"}
	observeReport(warm, 4, 10, 0)
	g := []Group{{Weight: 1, SameZone: []*Server{warm, cold}}}
	first, _ := Pick(begin, newRnd(), g, priority.Max, nil)
	c.Assert(first, qt.Equals, warm)
	observeReport(warm, 9, 10, 0)
	second, _ := Pick(begin, newRnd(), g, priority.Max, nil)
	c.Assert(second, qt.Equals, cold)
	cold.Begin()
	third, _ := Pick(begin, newRnd(), g, priority.Max, nil)
	c.Assert(third, qt.Equals, warm)
}

func TestServersAboveThePriorityAndTriedServersAreSkipped(t *testing.T) {
	c := qt.New(t)
	a, b := &Server{VM: "a"}, &Server{VM: "b"}
	observeReport(a, 0, 10, priority.Floor(2))
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

func TestFailingServerIsEjectedAndProbedWithOneCall(t *testing.T) {
	c := qt.New(t)
	s := &Server{VM: "a"}
	for range ejectFailures {
		c.Assert(s.AllowCall(begin), qt.IsTrue)
		s.ObserveFailure(begin, false)
	}
	c.Assert(s.AllowCall(begin), qt.IsFalse)
	later := begin.Add(firstEjection)
	c.Assert(s.AllowCall(later), qt.IsTrue, qt.Commentf("one probe call"))
	c.Assert(s.AllowCall(later), qt.IsFalse)
	s.ObserveFailure(later, false)
	c.Assert(s.AllowCall(later.Add(firstEjection)), qt.IsFalse, qt.Commentf("the ejection time grows"))
	c.Assert(s.AllowCall(later.Add(2*firstEjection)), qt.IsTrue)
	s.ObserveAnswer(later, wire.Answer{Outcome: wire.Ran})
	c.Assert(s.AllowCall(later), qt.IsTrue)
	c.Assert(s.AllowCall(later), qt.IsTrue)
}

func TestCallsFollowTheWeights(t *testing.T) {
	c := qt.New(t)
	old, newer := &Server{VM: "old"}, &Server{VM: "new"}
	observeReport(old, 0, 10, 0)
	observeReport(newer, 0, 10, 0)
	g := []Group{{Weight: 9, SameZone: []*Server{old}}, {Weight: 1, SameZone: []*Server{newer}}}
	rnd := newRnd()
	n := 0
	for range 10_000 {
		if got, _ := Pick(begin, rnd, g, priority.Max, nil); got == newer {
			n++
		}
	}
	c.Assert(n > 800 && n < 1200, qt.IsTrue, qt.Commentf("%d of 10000", n))
	g[0].Weight = 0
	got, _ := Pick(begin, rnd, g, priority.Max, []*Server{newer})
	c.Assert(got, qt.IsNil, qt.Commentf("a target of weight 0 gets nothing"))
}

func TestRetriesToAServerAreLimited(t *testing.T) {
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
	c.Assert(n >= 9 && n <= 10, qt.IsTrue, qt.Commentf("%d retries for 100 first attempts", n))
}

func TestSubsetIsStableAndCoversZones(t *testing.T) {
	c := qt.New(t)
	var vms []Candidate
	for i := range 30 {
		vms = append(vms, Candidate{VM: member.VM{Name: fmt.Sprint("v", i), Service: "s", Zone: fmt.Sprint("z", i%3)}})
	}
	grouper := Grouper{Self: "me", Zone: "z1", MaxSubset: 9}
	got := grouper.Subset(vms)
	c.Assert(got, qt.HasLen, 9)
	zones := map[string]int{}
	for _, v := range got {
		zones[v.VM.Zone]++
	}
	c.Assert(zones, qt.DeepEquals, map[string]int{"z0": 3, "z1": 3, "z2": 3})
	retained := 0
	after := grouper.Subset(vms[1:])
	for _, a := range after {
		for _, b := range got {
			if a.VM.Name == b.VM.Name {
				retained++
			}
		}
	}
	c.Assert(retained >= 8, qt.IsTrue, qt.Commentf("%d retained after one VM left", retained))
}

func TestGroupsHoldTheMatchingVMsThatAreNotLeaving(t *testing.T) {
	c := qt.New(t)
	doc := &config.Document{Version: 1, Objects: []config.Object{
		{Kind: config.KindService, Name: "s", Labels: map[string]string{"a": "b"}, Service: &config.ServiceSpec{Slots: 1, Connections: 1}},
		{Kind: config.KindPolicy, Name: "p", Policy: &config.PolicySpec{Selector: "a=b", Targets: []config.Target{{Selector: "dc=new", Weight: 1}}}},
	}}
	plan, err := config.Compile(doc)
	c.Assert(err, qt.IsNil)
	tr := plan.CallTreatment("s", config.Match{})
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
		observeReport(s, i, 100, 0)
		g.SameZone = append(g.SameZone, s)
	}
	groups := []Group{g}
	rnd := newRnd()
	b.ReportAllocs()
	for b.Loop() {
		Pick(begin, rnd, groups, priority.Floor(2), nil)
	}
}
