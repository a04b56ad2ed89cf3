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
func idOf(path string) Identity {
	return RequestContent{Service: "s", Method: "GET", URI: path}.Identity()
}

// endOf is the end of a server's life, under runs of requests that began in a stage.
func endOf(host string, life, stage int, paths ...string) Crash {
	e := Crash{Lifetime: Lifetime{host, fmt.Sprint("i", life)}, Service: "s"}
	for _, p := range paths {
		e.Runs = append(e.Runs, Run{Identity: idOf(p), Stages: Stages{stage, stage, stage}, Route: "r", Request: "id-" + p})
	}
	return e
}

// The guilty request goes through all stages; each end in a row counts, and what ran beside it is cleared by one good run.
func TestThreeEndsInARowHoldARequestBack(t *testing.T) {
	c := qt.New(t)
	var x Table
	c.Assert(x.AnySuspects(), qt.IsFalse)
	c.Assert(x.Decide(start, idOf("/bad")).Treatment, qt.Equals, Free)
	c.Assert(x.RecordCrash(start, endOf("a", 1, 0, "/bad", "/good")), qt.IsTrue)
	c.Assert(x.Decide(start, idOf("/bad")).Treatment, qt.Equals, Confined)
	c.Assert(x.Decide(start, idOf("/other")).Treatment, qt.Equals, Free)
	c.Assert(x.RecordSuccess(start, idOf("/good")), qt.HasLen, ScopeCount)
	c.Assert(x.Decide(start, idOf("/good")).Treatment, qt.Equals, Free)
	x.RecordCrash(start, endOf("b", 1, 1, "/bad"))
	c.Assert(x.Decide(start, idOf("/bad")).Treatment, qt.Equals, Alone)
	x.RecordCrash(start, endOf("c", 1, 2, "/bad"))
	j := x.Decide(start.Add(time.Second), idOf("/bad"))
	c.Assert(j.Treatment, qt.Equals, Quarantined)
	c.Assert(j.Remaining, qt.Equals, defaultHoldFirst-time.Second)
	c.Assert(j.Crashed, qt.HasLen, 3)
}

// Servers that end together, under copies of one request, make one stage; three of them have it tried alone, and a second stage is enough then.
func TestServersThatEndTogetherMakeOneStage(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range 5 {
		x.RecordCrash(start, endOf(fmt.Sprint("h", i), 1, 0, "/popular"))
	}
	c.Assert(x.Decide(start, idOf("/popular")).Treatment, qt.Equals, Alone)
	c.Assert(x.Decide(start, idOf("/popular")).Stages, qt.Equals, Stages{1, 1, 1})
	x.RecordCrash(start, endOf("h9", 1, 1, "/popular"))
	c.Assert(x.Decide(start, idOf("/popular")).Treatment, qt.Equals, Quarantined)
}

// A request that is held back is tried again by itself, alone, and held for longer each time that ends one more server.
func TestAHeldRequestIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range heldStage {
		x.RecordCrash(start, endOf("a", i, i, "/bad"))
	}
	later := start.Add(defaultHoldFirst)
	c.Assert(x.Decide(later, idOf("/bad")).Treatment, qt.Equals, Alone)
	x.RecordCrash(later, endOf("a", 9, heldStage, "/bad"))
	c.Assert(x.Decide(later, idOf("/bad")).Remaining, qt.Equals, defaultHoldTimes*defaultHoldFirst)
	x.RemoveExpired(later.Add(defaultHoldTimes * defaultHoldFirst))
	c.Assert(x.Decide(later.Add(defaultHoldTimes*defaultHoldFirst), idOf("/bad")).Treatment, qt.Equals, Alone)
	c.Assert(x.RecordSuccess(later, idOf("/bad")), qt.HasLen, ScopeCount, qt.Commentf("the next release of the server is sound"))
	c.Assert(x.AnySuspects(), qt.IsFalse)
}

// News of an end that comes after the request was cleared of it, by another way, doesn't count again.
func TestOldNewsDoesNotCountAgainstAClearedRequest(t *testing.T) {
	c := qt.New(t)
	var near, far Table
	e := endOf("a", 1, 0, "/good")
	near.RecordCrash(start, e)
	told := near.RecordSuccess(start, idOf("/good"))
	c.Assert(told, qt.HasLen, ScopeCount)
	takeAll(&far, told)
	far.RecordCrash(start, e)
	c.Assert(far.Decide(start, idOf("/good")).Treatment, qt.Equals, Free)
	c.Assert(far.MergeCase(start, told[0]), qt.IsFalse, qt.Commentf("it is no news any more"))
}

// Suspicion ends by itself, and what is kept is bounded: what is held back goes last.
func TestCasesLapseAndAreBounded(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range heldStage {
		x.RecordCrash(start, endOf("a", i, i, "/bad"))
	}
	for i := range 20 {
		var paths []string
		for k := range 400 {
			paths = append(paths, fmt.Sprint("/", i, "/", k))
		}
		x.RecordCrash(start, endOf("b", i, 0, paths...))
		c.Assert(len(x.cases) <= maxCases, qt.IsTrue, qt.Commentf("%d", len(x.cases)))
	}
	c.Assert(x.Decide(start, idOf("/bad")).Treatment, qt.Equals, Quarantined)
	x.RemoveExpired(start.Add(defaultSuspect))
	c.Assert(x.SuspectCases(start), qt.HasLen, ScopeCount)
	x.RemoveExpired(start.Add(defaultHoldFirst + heldMemory))
	c.Assert(x.AnySuspects(), qt.IsFalse)
	c.Assert(x.cases, qt.HasLen, 0)
}

// Whatever the order in which nodes hear of ends and cleared cases, and however often, they judge alike in the end.
func TestNodesThatHeardTheSameJudgeAlike(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var ends []Crash
		for i := range rapid.IntRange(1, 6).Draw(r, "ends") {
			paths := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"/a", "/b", "/c"}), 1, 3, rapid.ID[string]).Draw(r, "paths")
			ends = append(ends, endOf(fmt.Sprint("h", i), 1, rapid.IntRange(0, 3).Draw(r, "stage"), paths...))
		}
		var first, second Table
		var told []Case
		for _, e := range ends {
			first.RecordCrash(start, e)
			if rapid.Bool().Draw(r, "clears") {
				told = append(told, first.RecordSuccess(start, idOf("/a"))...)
			}
		}
		order := rapid.Permutation(ends).Draw(r, "order")
		order = append(order, ends...)
		at := rapid.IntRange(0, len(order)).Draw(r, "when the cases come")
		for i, e := range order {
			if i == at {
				takeAll(&second, told)
			}
			second.RecordCrash(start, e)
		}
		takeAll(&second, told)
		takeAll(&second, first.SuspectCases(start))
		takeAll(&first, second.SuspectCases(start))
		for _, p := range []string{"/a", "/b", "/c"} {
			one, other := first.Decide(start, idOf(p)), second.Decide(start, idOf(p))
			if one.Treatment != other.Treatment || len(one.Crashed) != len(other.Crashed) {
				r.Fatalf("%s: %+v and %+v", p, one, other)
			}
		}
	})
}

func takeAll(x *Table, cases []Case) {
	for _, k := range cases {
		x.MergeCase(start, k)
	}
}

// Requests that differ in anything that a server sees have other fingerprints; parts can't be moved from one field to the next.
func TestFingerprintsTellRequestsApart(t *testing.T) {
	c := qt.New(t)
	whole := RequestContent{Service: "s", Method: "GET", Host: "h", URI: "/a?x=1", Caller: "c", Body: []byte("b")}
	others := []RequestContent{whole, whole, whole, whole, whole, whole, whole, whole}
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
		at := hosts[SelectHost(f, hosts)]
		count[at]++
		turned := slices.Clone(hosts)
		slices.Reverse(turned)
		c.Assert(turned[SelectHost(f, turned)], qt.Equals, at)
		if at != hosts[0] {
			c.Assert(hosts[1:][SelectHost(f, hosts[1:])], qt.Equals, at)
		}
	}
	for _, n := range count {
		c.Check(n > 60 && n < 140, qt.IsTrue, qt.Commentf("%v", count))
	}
	c.Assert(SelectHost(idOf("/").Widest(), nil), qt.Equals, -1)
}

// A request whose query is another one each time is found by its path; where only some queries are guilty, the others clear the path, and only the guilty
// one is held back.
func TestAQueryMayVaryOrBeGuilty(t *testing.T) {
	c := qt.New(t)
	var varies, guilty Table
	for i := range heldStage {
		varies.RecordCrash(start, Crash{Lifetime: Lifetime{"a", fmt.Sprint(i)}, Service: "s", Runs: []Run{{
			Identity: idOf(fmt.Sprint("/bad?at=", i)), Stages: varies.Decide(start, idOf(fmt.Sprint("/bad?at=", i))).Stages,
		}}})
		guilty.RecordCrash(start, Crash{Lifetime: Lifetime{"a", fmt.Sprint(i)}, Service: "s", Runs: []Run{{
			Identity: idOf("/find?q=bad"), Stages: guilty.Decide(start, idOf("/find?q=bad")).Stages,
		}}})
		guilty.RecordSuccess(start, idOf("/find?q=good"))
	}
	c.Assert(varies.Decide(start, idOf("/bad?at=9")).Treatment, qt.Equals, Quarantined)
	c.Assert(guilty.Decide(start, idOf("/find?q=bad")).Treatment, qt.Equals, Quarantined)
	c.Assert(guilty.Decide(start, idOf("/find?q=other")).Treatment, qt.Equals, Free)
}

// While nothing is under suspicion, a request costs one look at a number.
func BenchmarkJudgeWithoutSuspects(b *testing.B) {
	var x Table
	f := idOf("/a")
	for b.Loop() {
		x.Decide(start, f)
	}
}

// With some suspects it costs a fingerprint and a look at a map.
func BenchmarkJudgeBesideSuspects(b *testing.B) {
	var x Table
	x.RecordCrash(start, endOf("a", 1, 0, "/b", "/c", "/d"))
	a := RequestContent{Service: "s", Method: "GET", Host: "h", URI: "/a", Caller: "c"}
	b.ReportAllocs()
	for b.Loop() {
		x.Decide(start, a.Identity())
	}
}
