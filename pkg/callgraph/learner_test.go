package callgraph

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// kind is a kind of run that a made-up server has.
type kind struct {
	route  string
	rate   float64 // a second
	work   time.Duration
	limit  time.Duration // of the run
	called string
	calls  int
	each   time.Duration // that a call takes
	bound  time.Duration // the call's own limit, if it is earlier than the run's
	beside bool          // the calls are made at once, not one after the other
	failed float64       // share of calls that fail and end the run
}

// event is something that a node sees of the server beside it.
type event struct {
	at   time.Duration
	what func(l *Learner, now time.Time)
}

// play shows a learner a server on which the kinds of run begin for a time.
func play(l *Learner, start time.Time, span time.Duration, seed uint64, kinds ...kind) {
	playUntil(l, start, span, time.Hour, seed, kinds...)
}

// playUntil is play that stops with runs in progress.
func playUntil(l *Learner, start time.Time, span, end time.Duration, seed uint64, kinds ...kind) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	var events []event
	for _, k := range kinds {
		for at := time.Duration(0); at < span; at += time.Duration(rnd.ExpFloat64() / k.rate * float64(time.Second)) {
			events = k.run(events, rnd, at)
		}
	}
	for at := time.Duration(0); at < span; at += 100 * time.Millisecond {
		events = append(events, event{at, func(l *Learner, now time.Time) { l.Look(now) }})
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for _, e := range events {
		if e.at < end {
			e.what(l, start.Add(e.at))
		}
	}
}

// run adds the events of one run.
func (k kind) run(events []event, rnd *rand.Rand, at time.Duration) []event {
	around := func(d time.Duration) time.Duration { return time.Duration((0.5 + rnd.Float64()) * float64(d)) }
	var r *Run
	begun := at
	events = append(events, event{at, func(l *Learner, now time.Time) { r = l.Begin(now, k.route, now.Add(k.limit)) }})
	at += around(k.work)
	good := true
	for range k.calls {
		end := begun + k.limit
		if k.bound > 0 {
			end = min(end, at+k.bound)
		}
		left := (end - at).Truncate(time.Millisecond) // it is told in milliseconds
		events = append(events, event{at, func(l *Learner, now time.Time) { l.Call(now, k.called, now.Add(left)) }})
		if !k.beside {
			at += around(k.each)
		}
		if good = rnd.Float64() >= k.failed; !good {
			break
		}
	}
	if k.beside {
		at += around(k.each)
	}
	return append(events, event{at, func(l *Learner, now time.Time) { l.End(now, r, good) }})
}

var start = time.Unix(1000, 0)

const second = time.Second

// The kinds of the services that were learned wrong: downloads were taken for callers of a service that they
// never call, and the calls of a check for those of a bill.
var (
	pull  = kind{route: "pull", rate: 15, work: 72 * time.Millisecond, limit: 1200 * time.Millisecond}
	list  = kind{route: "list", rate: 110, work: 15 * time.Millisecond, limit: 800 * time.Millisecond, called: "roster", calls: 4, each: 25 * time.Millisecond, bound: 700 * time.Millisecond}
	bill  = kind{route: "bill", rate: 27, work: 120 * time.Millisecond, limit: 800 * time.Millisecond, called: "list", calls: 2, each: 150 * time.Millisecond, bound: 800 * time.Millisecond, beside: true}
	check = kind{route: "check", rate: 65, work: 15 * time.Millisecond, limit: 2500 * time.Millisecond, called: "list", calls: 1, each: 150 * time.Millisecond, bound: 800 * time.Millisecond}
)

func TestCallersAreFoundWhereDemandStandsStill(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		var l Learner
		play(&l, start, 10*second, seed, pull, list)
		c.Check(near(l.Calls("list")["roster"], 4, 0.5), qt.IsTrue, qt.Commentf("%v", l.Calls("list")))
		c.Check(l.Calls("pull")["roster"], qt.Equals, 0.0)
	}
}

// With hundreds of runs in progress there is more that may look like a caller by chance.
func TestCallersAreFoundAmongManyRuns(t *testing.T) {
	c := qt.New(t)
	many, busy := pull, list
	many.rate, busy.rate = 45, 530
	for seed := range uint64(5) {
		var l Learner
		play(&l, start, 6*second, seed, many, busy)
		c.Check(near(l.Calls("list")["roster"], 4, 0.5), qt.IsTrue, qt.Commentf("%v", l.Calls("list")))
		c.Check(l.Calls("pull")["roster"], qt.Equals, 0.0)
	}
}

// Two seconds of a day must do: then the overload begins.
func TestCallsThatEndWithTheirRunsAreFoundAtOnce(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		var l Learner
		play(&l, start, 2*second, seed, bill, check)
		c.Check(near(l.Calls("bill")["list"], 2, 0.3), qt.IsTrue, qt.Commentf("%v", l.Calls("bill")))
		c.Check(near(l.Calls("check")["list"], 1, 0.2), qt.IsTrue, qt.Commentf("%v", l.Calls("check")))
	}
}

func TestCallsOfEachRouteAreToldApart(t *testing.T) {
	c := qt.New(t)
	var l Learner
	a := kind{route: "a", rate: 30, work: 50 * time.Millisecond, limit: 5 * second, called: "x", calls: 2, each: 50 * time.Millisecond, bound: second}
	b := kind{route: "b", rate: 40, work: 10 * time.Millisecond, limit: 5 * second, called: "y", calls: 3, each: 40 * time.Millisecond, bound: second}
	play(&l, start, 20*second, 1, a, b)
	c.Assert(near(l.Calls("a")["x"], 2, 0.6), qt.IsTrue, qt.Commentf("%v", l.Calls("a")))
	c.Assert(near(l.Calls("b")["y"], 3, 0.6), qt.IsTrue, qt.Commentf("%v", l.Calls("b")))
	c.Assert(l.Calls("a")["y"] < 0.8, qt.IsTrue, qt.Commentf("%v", l.Calls("a")))
	c.Assert(l.Calls("b")["x"] < 0.8, qt.IsTrue, qt.Commentf("%v", l.Calls("b")))
}

// Where nothing tells two routes apart, together they still make the calls that there are.
func TestAllCallsAreShared(t *testing.T) {
	c := qt.New(t)
	var l Learner
	a := kind{route: "a", rate: 10, work: 50 * time.Millisecond, limit: second, called: "x", calls: 2, each: 20 * time.Millisecond, bound: 100 * time.Millisecond}
	b := a
	b.route, b.rate = "b", 30
	play(&l, start, 20*second, 1, a, b)
	got := 10*l.Calls("a")["x"] + 30*l.Calls("b")["x"]
	c.Assert(near(got, 80, 8), qt.IsTrue, qt.Commentf("%v %v", l.Calls("a"), l.Calls("b")))
}

// A run ends with its first failed call. Where many fail, as after a restart in the middle of an overload, each
// run seemed to make half of its calls, twice as many roots were taken in as could be served, and it stayed so.
func TestFailedCallsDontHideThoseAfterThem(t *testing.T) {
	c := qt.New(t)
	var l Learner
	failing := list
	failing.failed = 0.3
	play(&l, start, 10*second, 1, failing)
	c.Assert(near(l.Calls("list")["roster"], 4, 0.5), qt.IsTrue, qt.Commentf("%v", l.Calls("list")))
}

// What was learned in calm isn't pushed out by runs that fail.
func TestFailingRunsDontPushOutWhatIsKnown(t *testing.T) {
	c := qt.New(t)
	var l Learner
	play(&l, start, 10*second, 1, list, pull)
	failing := list
	failing.failed = 0.9
	play(&l, start.Add(10*second), 20*second, 2, failing, pull)
	c.Assert(l.Calls("list")["roster"] > 3.4, qt.IsTrue, qt.Commentf("%v", l.Calls("list")))
	c.Assert(l.Calls("pull")["roster"] < 0.8, qt.IsTrue, qt.Commentf("%v", l.Calls("pull")))
}

// Where no run ends well, the failing ones say more than nothing.
func TestFailingRunsCountWhereThereAreNoOthers(t *testing.T) {
	c := qt.New(t)
	var l Learner
	failing := list
	failing.failed = 1
	play(&l, start, 3*second, 1, failing)
	c.Assert(near(l.Calls("list")["roster"], 1, 0.1), qt.IsTrue, qt.Commentf("%v", l.Calls("list")))
}

// In the first moments hardly any run has ended. Going by those alone, each run seemed to make hundreds of
// calls, and first attempts of all kinds were refused for a second after every start.
func TestTheFirstMomentsDontMakeRunsLookDear(t *testing.T) {
	c := qt.New(t)
	for span := 50 * time.Millisecond; span < second; span += 50 * time.Millisecond {
		var l Learner
		playUntil(&l, start, span, span, 1, list, bill)
		c.Check(l.Calls("list")["roster"] < 4.5, qt.IsTrue, qt.Commentf("%v after %v", l.Calls("list"), span))
	}
}

func TestForgottenRoutesLeaveNothingBehind(t *testing.T) {
	c := qt.New(t)
	var l Learner
	old, young := list, list
	old.route, old.called = "old", "x"
	young.route, young.called, young.calls = "new", "y", 1
	play(&l, start, 2*second, 1, old)
	play(&l, start.Add(2*second), 600*second, 2, young)
	c.Assert(l.Calls("old"), qt.HasLen, 0)
	c.Assert(near(l.Calls("new")["y"], 1, 0.05), qt.IsTrue)
	c.Assert(l.Calls("new")["x"], qt.Equals, 0.0)
	c.Assert(l.routes, qt.HasLen, 1)
}

// A service below that slows down makes runs longer and their calls rarer, but not fewer.
func TestSlowCallsDontChangeTheirNumber(t *testing.T) {
	c := qt.New(t)
	var l Learner
	play(&l, start, 5*second, 1, list, pull)
	slow := list
	slow.each *= 5
	for i := range 5 {
		play(&l, start.Add(time.Duration(5+i)*second), second, uint64(i), slow, pull)
		c.Check(near(l.Calls("list")["roster"], 4, 0.8), qt.IsTrue, qt.Commentf("%v", l.Calls("list")))
		c.Check(l.Calls("pull")["roster"] < 0.8, qt.IsTrue, qt.Commentf("%v", l.Calls("pull")))
	}
}

// After a loss of all processes in the middle of an overload there is no calm to learn in.
func TestWhatWasKnownBeforeCountsAtOnce(t *testing.T) {
	c := qt.New(t)
	var before, l Learner
	play(&before, start, 10*second, 1, list, pull)
	known := before.Known()
	c.Assert(near(known["list"]["roster"], 4, 0.5), qt.IsTrue, qt.Commentf("%v", known))
	l.Recall(known)
	failing := list
	failing.failed = 0.9
	play(&l, start, 2*second, 2, failing, pull)
	c.Assert(near(l.Calls("list")["roster"], 4, 0.7), qt.IsTrue, qt.Commentf("%v", l.Calls("list")))
	changed := list
	changed.calls = 2
	play(&l, start.Add(2*second), 20*second, 3, changed, pull)
	c.Assert(near(l.Calls("list")["roster"], 2, 0.4), qt.IsTrue, qt.Commentf("%v", l.Calls("list")))
}

func BenchmarkCallAmongHundredRuns(b *testing.B) {
	var l Learner
	for i := range 100 {
		l.Begin(start.Add(time.Duration(i)*time.Millisecond), string(rune('a'+i%8)), start.Add(second))
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Call(start.Add(second/2), "x", start.Add(second/2))
	}
}
