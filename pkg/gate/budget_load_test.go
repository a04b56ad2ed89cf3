package gate

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/budget"
	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// chainLoad is a load of requests of eight sequential calls through one gate of 78 slots, made by eight callers. A call takes 44 ms
// on average, and one in 33 takes seven times as long as the others.
type chainLoad struct {
	limit    time.Duration // of a request
	rate     float64       // offered load as a multiple of what the gate's slots can serve
	reserves bool
	wrong    time.Duration // added to each reserve

	mu             sync.Mutex
	gate           *Gate
	rnd            *rand.Rand // of the calls
	callers        [8]chainCaller
	measured       bool
	served, failed float64 // requests a second
	ran            float64 // calls a second
}

const (
	chainSlots    = 78
	chainWork     = 44 * time.Millisecond
	chainCalls    = 8
	chainWarmUp   = 5 * time.Second
	chainMeasured = 10 * time.Second
	chainCapacity = float64(chainSlots) * limitFraction / (0.044 * chainCalls) // requests a second
)

// chainCaller is the node beside the server that makes the calls.
type chainCaller struct {
	learner callgraph.Learner
	times   budget.Times
}

// run offers half of what the gate can serve for chainWarmUp, then the load for chainMeasured, in simulated time.
func (l *chainLoad) run(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		l.gate, l.rnd = openGate(chainSlots, chainWork), rand.New(rand.NewPCG(7, 6))
		rnd, start := rand.New(rand.NewPCG(7, 5)), time.Now()
		var requests sync.WaitGroup
		for ticks := 0; time.Since(start) < chainWarmUp+chainMeasured; {
			rate := 0.5
			if l.measured = time.Since(start) >= chainWarmUp; l.measured {
				rate = l.rate
			}
			requests.Go(func() { l.request(&l.callers[rnd.IntN(len(l.callers))], l.measured) })
			time.Sleep(time.Duration(rnd.ExpFloat64() / (rate * chainCapacity) * float64(time.Second)))
			for ; time.Since(start) > time.Duration(ticks)*50*time.Millisecond; ticks++ {
				l.tick()
			}
		}
		requests.Wait()
	})
}

func (l *chainLoad) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.Expire(time.Now())
	for i := range l.callers {
		l.callers[i].learner.Update(time.Now())
	}
}

// request makes the calls of one request until one fails.
func (l *chainLoad) request(c *chainCaller, measured bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := time.Now().Add(l.limit)
	run, good := c.learner.BeginRun(time.Now(), "root", end), true
	for i := 0; i < chainCalls && good; i++ {
		l.sleep(2 * time.Millisecond)
		good = l.call(c, end)
	}
	c.learner.EndRun(time.Now(), run, good)
	switch {
	case measured && good:
		l.served += 1 / chainMeasured.Seconds()
	case measured:
		l.failed += 1 / chainMeasured.Seconds()
	}
}

func (l *chainLoad) sleep(d time.Duration) {
	l.mu.Unlock()
	time.Sleep(d)
	l.mu.Lock()
}

// call passes one call through the gate and reports whether it ended by the time limit of its request.
func (l *chainLoad) call(c *chainCaller, end time.Time) bool {
	made := time.Now()
	left := end.Sub(made).Truncate(time.Millisecond) // it is sent in milliseconds
	decision := make(chan Decision, 1)
	t := &Ticket{Internal: true, Route: "call", Deadline: made.Add(left), TypicalHold: chainWork, Age: l.limit - left, Notify: func(d Decision) { decision <- d }}
	c.learner.ObserveCall(made, "call", t.Deadline)
	if l.reserves {
		t.Reserve = c.times.ForCall(&c.learner, made, "call", t.Deadline, func(string) float64 { return 1 })
		t.Reserve.Time += l.wrong
		t.Reserve = t.Reserve.AtMost(left)
	}
	d := l.gate.Submit(made, t)
	if d.Queued {
		l.mu.Unlock()
		d = <-decision
		l.mu.Lock()
	}
	if !d.Start {
		return false
	}
	if l.measured {
		l.ran += 1 / chainMeasured.Seconds()
	}
	work := time.Duration((0.5 + l.rnd.Float64()) * float64(chainWork) * 33 / 39)
	if l.rnd.IntN(33) == 0 {
		work *= 7
	}
	started := time.Now()
	l.sleep(min(work, time.Until(end)))
	good := time.Now().Before(end)
	if !good {
		l.gate.Finish(time.Now(), time.Since(started), chainWork, Abandoned)
		return false
	}
	l.gate.Finish(time.Now(), time.Since(started), chainWork, Answered)
	c.times.ObserveCall("call", time.Since(made))
	return true
}

// Guards against slots spent on calls of requests that can't end in time any more. Of 204 requests a second that the slots can
// serve, 105 to 118 were served at 1.3 times the load and 27 at twice the load without reserves, and 200 to 204 with them.
func TestReservesKeepWholeRequestsServedUnderOverload(t *testing.T) {
	for _, rate := range []float64{1.3, 2} {
		c := qt.New(t)
		without, with := &chainLoad{limit: time.Second, rate: rate}, &chainLoad{limit: time.Second, rate: rate, reserves: true}
		without.run(t)
		with.run(t)
		t.Logf("load %v: served a second without %.0f with %.0f, calls run %.0f and %.0f", rate, without.served, with.served, without.ran, with.ran)
		c.Check(with.served > 0.85*chainCapacity, qt.IsTrue)
		c.Check(with.served > 1.5*without.served, qt.IsTrue)
	}
}

// Guards against refusing work that would have been served: below capacity, and with limits long compared with the chain.
func TestReservesChangeNothingWhereTimeSuffices(t *testing.T) {
	for _, l := range []struct {
		rate  float64
		limit time.Duration
	}{{0.9, time.Second}, {2, 5 * time.Second}} {
		c := qt.New(t)
		without, with := &chainLoad{limit: l.limit, rate: l.rate}, &chainLoad{limit: l.limit, rate: l.rate, reserves: true}
		without.run(t)
		with.run(t)
		t.Logf("load %v limit %v: served a second without %.0f with %.0f", l.rate, l.limit, without.served, with.served)
		c.Check(with.served > 0.97*without.served, qt.IsTrue)
	}
}

// Guards against a route that a wrong reserve shuts out, so that nothing runs that could correct it.
func TestWrongReservesDontShutARouteOut(t *testing.T) {
	c := qt.New(t)
	l := &chainLoad{limit: time.Second, rate: 0.9, reserves: true, wrong: time.Hour}
	l.run(t)
	t.Logf("served %.0f of %.0f a second", l.served, l.served+l.failed)
	c.Check(l.served > 0.08*(l.served+l.failed), qt.IsTrue)
}
