package poison

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// start is when the tests begin.
var start = time.Unix(1000, 0)

// idOf returns the identity of a request for a path.
func idOf(path string) Identity { return Asked{Service: "s", Method: "GET", URI: path}.Identity() }

// endOf is the end of a server's life, under runs of requests that began in a stage.
func endOf(host string, life, stage int, paths ...string) End {
	e := End{Lifetime: Lifetime{host, fmt.Sprint("i", life)}, Service: "s"}
	for _, p := range paths {
		e.Runs = append(e.Runs, Run{Identity: idOf(p), Stages: Stages{stage, stage, stage}, Route: "r", Request: "id-" + p})
	}
	return e
}

// The guilty request goes through all stages; each end in a row counts, and what ran beside it is cleared by one good run.
func TestThreeEndsInARowHoldARequestBack(t *testing.T) {
	c := qt.New(t)
	var x Table
	c.Assert(x.Any(), qt.IsFalse)
	c.Assert(x.Judge(start, idOf("/bad")).Treatment, qt.Equals, Free)
	c.Assert(x.TakeEnd(start, endOf("a", 1, 0, "/bad", "/good")), qt.IsTrue)
	c.Assert(x.Judge(start, idOf("/bad")).Treatment, qt.Equals, Confined)
	c.Assert(x.Judge(start, idOf("/other")).Treatment, qt.Equals, Free)
	c.Assert(x.Clear(start, idOf("/good")), qt.HasLen, Likenesses)
	c.Assert(x.Judge(start, idOf("/good")).Treatment, qt.Equals, Free)
	x.TakeEnd(start, endOf("b", 1, 1, "/bad"))
	c.Assert(x.Judge(start, idOf("/bad")).Treatment, qt.Equals, Alone)
	x.TakeEnd(start, endOf("c", 1, 2, "/bad"))
	j := x.Judge(start.Add(time.Second), idOf("/bad"))
	c.Assert(j.Treatment, qt.Equals, HeldBack)
	c.Assert(j.For, qt.Equals, defaultHoldFirst-time.Second)
	c.Assert(j.Ends, qt.HasLen, 3)
}

// Servers that end together, under copies of one request, make one stage; three of them have it tried alone, and a second stage is enough then.
func TestServersThatEndTogetherMakeOneStage(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range 5 {
		x.TakeEnd(start, endOf(fmt.Sprint("h", i), 1, 0, "/popular"))
	}
	c.Assert(x.Judge(start, idOf("/popular")).Treatment, qt.Equals, Alone)
	c.Assert(x.Judge(start, idOf("/popular")).Stages, qt.Equals, Stages{1, 1, 1})
	x.TakeEnd(start, endOf("h9", 1, 1, "/popular"))
	c.Assert(x.Judge(start, idOf("/popular")).Treatment, qt.Equals, HeldBack)
}

// A request that is held back is tried again by itself, alone, and held for longer each time that ends one more server.
func TestAHeldRequestIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range heldStage {
		x.TakeEnd(start, endOf("a", i, i, "/bad"))
	}
	later := start.Add(defaultHoldFirst)
	c.Assert(x.Judge(later, idOf("/bad")).Treatment, qt.Equals, Alone)
	x.TakeEnd(later, endOf("a", 9, heldStage, "/bad"))
	c.Assert(x.Judge(later, idOf("/bad")).For, qt.Equals, defaultHoldTimes*defaultHoldFirst)
	x.Sweep(later.Add(defaultHoldTimes * defaultHoldFirst))
	c.Assert(x.Judge(later.Add(defaultHoldTimes*defaultHoldFirst), idOf("/bad")).Treatment, qt.Equals, Alone)
	c.Assert(x.Clear(later, idOf("/bad")), qt.HasLen, Likenesses, qt.Commentf("the next release of the server is sound"))
	c.Assert(x.Any(), qt.IsFalse)
}

// News of an end that comes after the request was cleared of it, by another way, doesn't count again.
func TestOldNewsDoesNotCountAgainstAClearedRequest(t *testing.T) {
	c := qt.New(t)
	var near, far Table
	e := endOf("a", 1, 0, "/good")
	near.TakeEnd(start, e)
	told := near.Clear(start, idOf("/good"))
	c.Assert(told, qt.HasLen, Likenesses)
	takeAll(&far, told)
	far.TakeEnd(start, e)
	c.Assert(far.Judge(start, idOf("/good")).Treatment, qt.Equals, Free)
	c.Assert(far.TakeCase(start, told[0]), qt.IsFalse, qt.Commentf("it is no news any more"))
}

// Suspicion ends by itself, and what is kept is bounded: what is held back goes last.
func TestCasesLapseAndAreBounded(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range heldStage {
		x.TakeEnd(start, endOf("a", i, i, "/bad"))
	}
	for i := range 20 {
		var paths []string
		for k := range 400 {
			paths = append(paths, fmt.Sprint("/", i, "/", k))
		}
		x.TakeEnd(start, endOf("b", i, 0, paths...))
		c.Assert(len(x.cases) <= maxCases, qt.IsTrue, qt.Commentf("%d", len(x.cases)))
	}
	c.Assert(x.Judge(start, idOf("/bad")).Treatment, qt.Equals, HeldBack)
	x.Sweep(start.Add(defaultSuspect))
	c.Assert(x.All(start), qt.HasLen, Likenesses)
	x.Sweep(start.Add(defaultHoldFirst + heldMemory))
	c.Assert(x.Any(), qt.IsFalse)
	c.Assert(x.cases, qt.HasLen, 0)
}

// Whatever the order in which nodes hear of ends and cleared cases, and however often, they judge alike in the end.
func TestNodesThatHeardTheSameJudgeAlike(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var ends []End
		for i := range rapid.IntRange(1, 6).Draw(r, "ends") {
			paths := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"/a", "/b", "/c"}), 1, 3, rapid.ID[string]).Draw(r, "paths")
			ends = append(ends, endOf(fmt.Sprint("h", i), 1, rapid.IntRange(0, 3).Draw(r, "stage"), paths...))
		}
		var first, second Table
		var told []Case
		for _, e := range ends {
			first.TakeEnd(start, e)
			if rapid.Bool().Draw(r, "clears") {
				told = append(told, first.Clear(start, idOf("/a"))...)
			}
		}
		order := rapid.Permutation(ends).Draw(r, "order")
		order = append(order, ends...)
		at := rapid.IntRange(0, len(order)).Draw(r, "when the cases come")
		for i, e := range order {
			if i == at {
				takeAll(&second, told)
			}
			second.TakeEnd(start, e)
		}
		takeAll(&second, told)
		takeAll(&second, first.All(start))
		takeAll(&first, second.All(start))
		for _, p := range []string{"/a", "/b", "/c"} {
			one, other := first.Judge(start, idOf(p)), second.Judge(start, idOf(p))
			if one.Treatment != other.Treatment || len(one.Ends) != len(other.Ends) {
				r.Fatalf("%s: %+v and %+v", p, one, other)
			}
		}
	})
}

func takeAll(x *Table, cases []Case) {
	for _, k := range cases {
		x.TakeCase(start, k)
	}
}

// Requests that differ in anything that a server sees have other fingerprints; parts can't be moved from one field to the next.
func TestFingerprintsTellRequestsApart(t *testing.T) {
	c := qt.New(t)
	whole := Asked{Service: "s", Method: "GET", Host: "h", URI: "/a?x=1", Caller: "c", Body: []byte("b")}
	others := []Asked{whole, whole, whole, whole, whole, whole, whole, whole}
	others[0].Service = "t"
	others[1].Method = "POST"
	others[2].Host = "h2"
	others[3].URI = "/a?x=2"
	others[4].Caller = "d"
	others[5].Body = []byte("b2")
	others[6].Length = 1 << 20
	others[7].Host, others[7].URI = "h/", "a?x=1"
	seen := map[Fingerprint]bool{whole.Identity()[Exact]: true}
	for _, o := range others {
		c.Check(seen[o.Identity()[Exact]], qt.IsFalse, qt.Commentf("%+v", o))
		seen[o.Identity()[Exact]] = true
	}
	same := whole
	same.Host = "H"
	c.Assert(same.Identity(), qt.Equals, whole.Identity())
	c.Assert(others[3].Identity()[SamePath], qt.Equals, whole.Identity()[SamePath])
	c.Assert(others[4].Identity()[SamePath], qt.Not(qt.Equals), whole.Identity()[SamePath])
	c.Assert(others[4].Identity().Widest(), qt.Equals, whole.Identity().Widest())
	c.Assert(others[5].Identity()[SamePath], qt.Not(qt.Equals), whole.Identity()[SamePath])
	text, err := json.Marshal(whole.Identity()[Exact])
	c.Assert(err, qt.IsNil)
	var back Fingerprint
	c.Assert(json.Unmarshal(text, &back), qt.IsNil)
	c.Assert(back, qt.Equals, whole.Identity()[Exact])
	var wrong *FingerprintError
	c.Assert(errors.As(back.UnmarshalText([]byte("xy")), &wrong), qt.IsTrue)
}

// All nodes choose the same server for a suspect; suspects are spread, and only those of a server that is gone move.
func TestSuspectsAreSpreadOverTheServers(t *testing.T) {
	c := qt.New(t)
	hosts := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}
	count := map[string]int{}
	for i := range 400 {
		f := idOf(fmt.Sprint("/", i)).Widest()
		at := hosts[Place(f, hosts)]
		count[at]++
		turned := slices.Clone(hosts)
		slices.Reverse(turned)
		c.Assert(turned[Place(f, turned)], qt.Equals, at)
		if at != hosts[0] {
			c.Assert(hosts[1:][Place(f, hosts[1:])], qt.Equals, at)
		}
	}
	for _, n := range count {
		c.Check(n > 60 && n < 140, qt.IsTrue, qt.Commentf("%v", count))
	}
	c.Assert(Place(idOf("/").Widest(), nil), qt.Equals, -1)
}

// A request whose query is another one each time is found by its path; where only some queries are guilty, the others clear the path, and only the guilty
// one is held back.
func TestAQueryMayVaryOrBeGuilty(t *testing.T) {
	c := qt.New(t)
	var varies, guilty Table
	for i := range heldStage {
		varies.TakeEnd(start, End{Lifetime: Lifetime{"a", fmt.Sprint(i)}, Service: "s", Runs: []Run{{
			Identity: idOf(fmt.Sprint("/bad?at=", i)), Stages: varies.Judge(start, idOf(fmt.Sprint("/bad?at=", i))).Stages,
		}}})
		guilty.TakeEnd(start, End{Lifetime: Lifetime{"a", fmt.Sprint(i)}, Service: "s", Runs: []Run{{
			Identity: idOf("/find?q=bad"), Stages: guilty.Judge(start, idOf("/find?q=bad")).Stages,
		}}})
		guilty.Clear(start, idOf("/find?q=good"))
	}
	c.Assert(varies.Judge(start, idOf("/bad?at=9")).Treatment, qt.Equals, HeldBack)
	c.Assert(guilty.Judge(start, idOf("/find?q=bad")).Treatment, qt.Equals, HeldBack)
	c.Assert(guilty.Judge(start, idOf("/find?q=other")).Treatment, qt.Equals, Free)
}

// While nothing is under suspicion, a request costs one look at a number.
func BenchmarkJudgeWithoutSuspects(b *testing.B) {
	var x Table
	f := idOf("/a")
	for b.Loop() {
		x.Judge(start, f)
	}
}

// With some suspects it costs a fingerprint and a look at a map.
func BenchmarkJudgeBesideSuspects(b *testing.B) {
	var x Table
	x.TakeEnd(start, endOf("a", 1, 0, "/b", "/c", "/d"))
	a := Asked{Service: "s", Method: "GET", Host: "h", URI: "/a", Caller: "c"}
	b.ReportAllocs()
	for b.Loop() {
		x.Judge(start, a.Identity())
	}
}
