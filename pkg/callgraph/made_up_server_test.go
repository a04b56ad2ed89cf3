package callgraph

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
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
	vary   float64       // part of the limit that the run may lack, since work above it took some
	late   time.Duration // after which a call is seen at the latest, where the node is busy
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
		events = append(events, event{at, func(l *Learner, now time.Time) { l.Update(now) }})
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
	begun, limit := at, k.limit-time.Duration(rnd.Float64()*k.vary*float64(k.limit))
	events = append(events, event{at, func(l *Learner, now time.Time) { r = l.BeginRun(now, k.route, now.Add(limit)) }})
	at += around(k.work)
	good := true
	for range k.calls {
		end := begun + limit
		if k.bound > 0 {
			end = min(end, at+k.bound)
		}
		left := (end - at).Truncate(time.Millisecond) // it is told in milliseconds
		seen := at + time.Duration(rnd.Float64()*float64(k.late))
		events = append(events, event{seen, func(l *Learner, now time.Time) { l.ObserveCall(now, k.called, now.Add(left)) }})
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
	return append(events, event{at, func(l *Learner, now time.Time) { l.EndRun(now, r, good) }})
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

// The kinds of a service whose calls were shared out to a kind that makes none.
var (
	fixing  = kind{route: "fixing", rate: 270, work: 15 * time.Millisecond, limit: 760 * time.Millisecond, vary: 0.5, called: "index", calls: 4, each: 45 * time.Millisecond, bound: 700 * time.Millisecond}
	release = kind{route: "release", rate: 30, work: 84 * time.Millisecond, limit: 980 * time.Millisecond}
)
