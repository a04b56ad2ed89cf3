package callgraph

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// simulatedKind is a kind of run at a simulated server.
type simulatedKind struct {
	route       string
	rate        float64 // a second
	work        time.Duration
	limit       time.Duration // of the run
	called      string
	calls       int
	callTime    time.Duration // duration of a call
	callLimit   time.Duration // the call's own limit, if it is earlier than the run's
	parallel    bool          // the calls are made in parallel, not one after the other
	failed      float64       // share of calls that fail and end the run
	limitJitter float64       // largest fraction of the limit used up by the work above
	late        time.Duration // longest delay after which a busy node sees a call
}

// simulatedEvent is something that a node sees of the server beside it.
type simulatedEvent struct {
	at time.Duration
	do func(l *Learner, now time.Time)
}

// simulate feeds a learner the events of a server on which runs of the kinds begin for a time.
func simulate(l *Learner, start time.Time, span time.Duration, seed uint64, kinds ...simulatedKind) {
	simulateUntil(l, start, span, time.Hour, seed, kinds...)
}

// simulateUntil is simulate that stops at end, with runs in progress.
func simulateUntil(l *Learner, start time.Time, span, end time.Duration, seed uint64, kinds ...simulatedKind) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	var events []simulatedEvent
	for _, k := range kinds {
		for at := time.Duration(0); at < span; at += time.Duration(rnd.ExpFloat64() / k.rate * float64(time.Second)) {
			events = k.run(events, rnd, at)
		}
	}
	for at := time.Duration(0); at < span; at += 100 * time.Millisecond {
		events = append(events, simulatedEvent{at, func(l *Learner, now time.Time) { l.Update(now) }})
	}
	slices.SortStableFunc(events, func(a, b simulatedEvent) int { return cmp.Compare(a.at, b.at) })
	for _, e := range events {
		if e.at < end {
			e.do(l, start.Add(e.at))
		}
	}
}

// run adds the events of one run.
func (k simulatedKind) run(events []simulatedEvent, rnd *rand.Rand, at time.Duration) []simulatedEvent {
	around := func(d time.Duration) time.Duration { return time.Duration((0.5 + rnd.Float64()) * float64(d)) }
	var r *Run
	begun, limit := at, k.limit-time.Duration(rnd.Float64()*k.limitJitter*float64(k.limit))
	events = append(events, simulatedEvent{at, func(l *Learner, now time.Time) { r = l.BeginRun(now, k.route, now.Add(limit)) }})
	at += around(k.work)
	good := true
	for range k.calls {
		end := begun + limit
		if k.callLimit > 0 {
			end = min(end, at+k.callLimit)
		}
		left := (end - at).Truncate(time.Millisecond) // it is sent in milliseconds
		seen := at + time.Duration(rnd.Float64()*float64(k.late))
		events = append(events, simulatedEvent{seen, func(l *Learner, now time.Time) { l.ObserveCall(now, k.called, now.Add(left)) }})
		if !k.parallel {
			at += around(k.callTime)
		}
		if good = rnd.Float64() >= k.failed; !good {
			break
		}
	}
	if k.parallel {
		at += around(k.callTime)
	}
	return append(events, simulatedEvent{at, func(l *Learner, now time.Time) { l.EndRun(now, r, good) }})
}

var start = time.Unix(1000, 0)

const second = time.Second

// Kinds of services that were learned wrong: downloads seemed to call a service that they never call, and a check's calls
// were attributed to a bill.
var (
	pull  = simulatedKind{route: "pull", rate: 15, work: 72 * time.Millisecond, limit: 1200 * time.Millisecond}
	list  = simulatedKind{route: "list", rate: 110, work: 15 * time.Millisecond, limit: 800 * time.Millisecond, called: "roster", calls: 4, callTime: 25 * time.Millisecond, callLimit: 700 * time.Millisecond}
	bill  = simulatedKind{route: "bill", rate: 27, work: 120 * time.Millisecond, limit: 800 * time.Millisecond, called: "list", calls: 2, callTime: 150 * time.Millisecond, callLimit: 800 * time.Millisecond, parallel: true}
	check = simulatedKind{route: "check", rate: 65, work: 15 * time.Millisecond, limit: 2500 * time.Millisecond, called: "list", calls: 1, callTime: 150 * time.Millisecond, callLimit: 800 * time.Millisecond}
)

// Kinds of a service whose calls were attributed to a kind that makes none.
var (
	fixing  = simulatedKind{route: "fixing", rate: 270, work: 15 * time.Millisecond, limit: 760 * time.Millisecond, limitJitter: 0.5, called: "index", calls: 4, callTime: 45 * time.Millisecond, callLimit: 700 * time.Millisecond}
	release = simulatedKind{route: "release", rate: 30, work: 84 * time.Millisecond, limit: 980 * time.Millisecond}
)
