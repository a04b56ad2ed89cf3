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

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// identityOf returns the identity of a request for a path.
func identityOf(path string) Identity {
	return RequestContent{Service: "s", Method: "GET", URI: path}.Identity()
}

// crashOf returns the crash of a server lifetime, under runs of requests that began in a stage.
func crashOf(host string, life, stage int, paths ...string) Crash {
	e := Crash{Lifetime: Lifetime{host, fmt.Sprint("i", life)}, Service: "s"}
	for _, p := range paths {
		e.Runs = append(e.Runs, Run{Identity: identityOf(p), Stages: Stages{stage, stage, stage}, Route: "r", Request: "id-" + p})
	}
	return e
}

// A poison request goes through all stages, one per crash in a row; a request that ran beside it is cleared by one successful run.
func TestThreeCrashesInARowQuarantineARequest(t *testing.T) {
	c := qt.New(t)
	var x Table
	c.Assert(x.AnySuspects(), qt.IsFalse)
	c.Assert(x.Decide(start, identityOf("/bad")).Treatment, qt.Equals, Free)
	c.Assert(x.RecordCrash(start, crashOf("a", 1, 0, "/bad", "/good")), qt.IsTrue)
	c.Assert(x.Decide(start, identityOf("/bad")).Treatment, qt.Equals, Confined)
	c.Assert(x.Decide(start, identityOf("/other")).Treatment, qt.Equals, Free)
	c.Assert(x.RecordSuccess(start, identityOf("/good")), qt.HasLen, ScopeCount)
	c.Assert(x.Decide(start, identityOf("/good")).Treatment, qt.Equals, Free)
	x.RecordCrash(start, crashOf("b", 1, 1, "/bad"))
	c.Assert(x.Decide(start, identityOf("/bad")).Treatment, qt.Equals, Alone)
	x.RecordCrash(start, crashOf("c", 1, 2, "/bad"))
	j := x.Decide(start.Add(time.Second), identityOf("/bad"))
	c.Assert(j.Treatment, qt.Equals, Quarantined)
	c.Assert(j.Remaining, qt.Equals, defaultFirstQuarantine-time.Second)
	c.Assert(j.Crashed, qt.HasLen, 3)
}

// Servers that crash together under copies of one request make one stage. Three of them lead to Alone, and then a second stage is enough.
func TestServersThatCrashTogetherMakeOneStage(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range 5 {
		x.RecordCrash(start, crashOf(fmt.Sprint("h", i), 1, 0, "/popular"))
	}
	c.Assert(x.Decide(start, identityOf("/popular")).Treatment, qt.Equals, Alone)
	c.Assert(x.Decide(start, identityOf("/popular")).Stages, qt.Equals, Stages{1, 1, 1})
	x.RecordCrash(start, crashOf("h9", 1, 1, "/popular"))
	c.Assert(x.Decide(start, identityOf("/popular")).Treatment, qt.Equals, Quarantined)
}

// A run that is recorded before the whole report counts once.
func TestARunCountsOnceWithTheReportOfItsCrash(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range 2 {
		x.RecordCrash(start, crashOf(fmt.Sprint("h", i), 1, 0, "/bad"))
	}
	last := crashOf("h2", 1, 1, "/bad", "/beside")
	x.RecordRun(start, last.Lifetime, "s", last.Runs[0])
	c.Assert(x.Decide(start, identityOf("/bad")).Treatment, qt.Equals, Quarantined)
	c.Assert(x.Decide(start, identityOf("/beside")).Treatment, qt.Equals, Free)
	before := x.Decide(start, identityOf("/bad"))
	c.Assert(x.RecordCrash(start, last), qt.IsTrue)
	c.Assert(x.Decide(start, identityOf("/bad")), qt.DeepEquals, before)
	c.Assert(x.Decide(start, identityOf("/beside")).Treatment, qt.Equals, Confined)
	x.RecordRun(start, last.Lifetime, "s", last.Runs[0])
	c.Assert(x.Decide(start, identityOf("/bad")), qt.DeepEquals, before)
}

// After its quarantine a request may run again, one at a time, and each further crash lengthens the next quarantine.
func TestAQuarantinedRequestIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range quarantineStage {
		x.RecordCrash(start, crashOf("a", i, i, "/bad"))
	}
	later := start.Add(defaultFirstQuarantine)
	c.Assert(x.Decide(later, identityOf("/bad")).Treatment, qt.Equals, Alone)
	x.RecordCrash(later, crashOf("a", 9, quarantineStage, "/bad"))
	c.Assert(x.Decide(later, identityOf("/bad")).Remaining, qt.Equals, defaultQuarantineFactor*defaultFirstQuarantine)
	x.RemoveExpired(later.Add(defaultQuarantineFactor * defaultFirstQuarantine))
	c.Assert(x.Decide(later.Add(defaultQuarantineFactor*defaultFirstQuarantine), identityOf("/bad")).Treatment, qt.Equals, Alone)
	c.Assert(x.RecordSuccess(later, identityOf("/bad")), qt.HasLen, ScopeCount, qt.Commentf("the next release of the server is free of the fault"))
	c.Assert(x.AnySuspects(), qt.IsFalse)
}

// A crash report that arrives after the request was cleared of the crash, by another node's case, doesn't count again.
func TestALateCrashReportDoesNotCountAgainstAClearedRequest(t *testing.T) {
	c := qt.New(t)
	var near, far Table
	e := crashOf("a", 1, 0, "/good")
	near.RecordCrash(start, e)
	told := near.RecordSuccess(start, identityOf("/good"))
	c.Assert(told, qt.HasLen, ScopeCount)
	mergeAll(&far, told)
	far.RecordCrash(start, e)
	c.Assert(far.Decide(start, identityOf("/good")).Treatment, qt.Equals, Free)
	c.Assert(far.MergeCase(start, told[0]), qt.IsFalse, qt.Commentf("it is known already"))
}

// Cases expire and their number is bounded; quarantined ones are evicted last.
func TestCasesExpireAndAreBounded(t *testing.T) {
	c := qt.New(t)
	var x Table
	for i := range quarantineStage {
		x.RecordCrash(start, crashOf("a", i, i, "/bad"))
	}
	for i := range 20 {
		var paths []string
		for k := range 400 {
			paths = append(paths, fmt.Sprint("/", i, "/", k))
		}
		x.RecordCrash(start, crashOf("b", i, 0, paths...))
		c.Assert(len(x.cases) <= maxCases, qt.IsTrue, qt.Commentf("%d", len(x.cases)))
	}
	c.Assert(x.Decide(start, identityOf("/bad")).Treatment, qt.Equals, Quarantined)
	x.RemoveExpired(start.Add(defaultSuspectRetention))
	c.Assert(x.SuspectCases(start), qt.HasLen, ScopeCount)
	x.RemoveExpired(start.Add(defaultFirstQuarantine + postQuarantineRetention))
	c.Assert(x.AnySuspects(), qt.IsFalse)
	c.Assert(x.cases, qt.HasLen, 0)
}

// Nodes that received the same crashes and cases, in any order and any number of times, reach the same decisions.
func TestNodesWithTheSameReportsDecideAlike(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var ends []Crash
		for i := range rapid.IntRange(1, 6).Draw(r, "ends") {
			paths := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"/a", "/b", "/c"}), 1, 3, rapid.ID[string]).Draw(r, "paths")
			ends = append(ends, crashOf(fmt.Sprint("h", i), 1, rapid.IntRange(0, 3).Draw(r, "stage"), paths...))
		}
		var first, second Table
		var told []Case
		for _, e := range ends {
			first.RecordCrash(start, e)
			if rapid.Bool().Draw(r, "clears") {
				told = append(told, first.RecordSuccess(start, identityOf("/a"))...)
			}
		}
		order := rapid.Permutation(ends).Draw(r, "order")
		order = append(order, ends...)
		at := rapid.IntRange(0, len(order)).Draw(r, "position of the cases")
		for i, e := range order {
			if i == at {
				mergeAll(&second, told)
			}
			second.RecordCrash(start, e)
		}
		mergeAll(&second, told)
		mergeAll(&second, first.SuspectCases(start))
		mergeAll(&first, second.SuspectCases(start))
		for _, p := range []string{"/a", "/b", "/c"} {
			one, other := first.Decide(start, identityOf(p)), second.Decide(start, identityOf(p))
			if one.Treatment != other.Treatment || len(one.Crashed) != len(other.Crashed) {
				r.Fatalf("%s: %+v and %+v", p, one, other)
			}
		}
	})
}

func mergeAll(x *Table, cases []Case) {
	for _, k := range cases {
		x.MergeCase(start, k)
	}
}

// Requests that differ in anything that a server sees have different fingerprints, also where content moves from one field to the next.
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

// All nodes select the same host for a suspect; suspects are spread evenly, and only those of a lost host move.
func TestSuspectsAreSpreadOverHosts(t *testing.T) {
	c := qt.New(t)
	hosts := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}
	count := map[string]int{}
	for i := range 400 {
		f := identityOf(fmt.Sprint("/", i)).Widest()
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
	c.Assert(SelectHost(identityOf("/").Widest(), nil), qt.Equals, -1)
}

// A poison request whose query varies is found by its path. Where only some queries crash servers, the others clear the path, and only
// the poison query is quarantined.
func TestPoisonIsFoundByPathOrByQuery(t *testing.T) {
	c := qt.New(t)
	var varies, guilty Table
	for i := range quarantineStage {
		varies.RecordCrash(start, Crash{Lifetime: Lifetime{"a", fmt.Sprint(i)}, Service: "s", Runs: []Run{{
			Identity: identityOf(fmt.Sprint("/bad?at=", i)), Stages: varies.Decide(start, identityOf(fmt.Sprint("/bad?at=", i))).Stages,
		}}})
		guilty.RecordCrash(start, Crash{Lifetime: Lifetime{"a", fmt.Sprint(i)}, Service: "s", Runs: []Run{{
			Identity: identityOf("/find?q=bad"), Stages: guilty.Decide(start, identityOf("/find?q=bad")).Stages,
		}}})
		guilty.RecordSuccess(start, identityOf("/find?q=good"))
	}
	c.Assert(varies.Decide(start, identityOf("/bad?at=9")).Treatment, qt.Equals, Quarantined)
	c.Assert(guilty.Decide(start, identityOf("/find?q=bad")).Treatment, qt.Equals, Quarantined)
	c.Assert(guilty.Decide(start, identityOf("/find?q=other")).Treatment, qt.Equals, Free)
}

// Without suspects, a request costs one atomic load.
func BenchmarkDecideWithoutSuspects(b *testing.B) {
	var x Table
	f := identityOf("/a")
	for b.Loop() {
		x.Decide(start, f)
	}
}

// With suspects, a request costs a fingerprint and a map lookup per scope.
func BenchmarkDecideWithSuspects(b *testing.B) {
	var x Table
	x.RecordCrash(start, crashOf("a", 1, 0, "/b", "/c", "/d"))
	a := RequestContent{Service: "s", Method: "GET", Host: "h", URI: "/a", Caller: "c"}
	b.ReportAllocs()
	for b.Loop() {
		x.Decide(start, a.Identity())
	}
}
