package budget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

var start = time.Unix(1_000_000, 0)

// learned returns a learner of runs that make four calls of 50 ms one after the other, and the times of these calls.
func learned() (*callgraph.Learner, *Times) {
	l, t, now := &callgraph.Learner{}, &Times{}, start.Add(-time.Second)
	for range 20 {
		end := now.Add(time.Second)
		run := l.BeginRun(now, "caller", end)
		for range 4 {
			l.ObserveCall(now, "call", end)
			t.ObserveCall("call", 50*time.Millisecond)
			now = now.Add(10 * time.Millisecond)
		}
		l.EndRun(now, run, true)
	}
	return l, t
}

func oneGate(string) float64 { return 1 }

func TestReserveIsTheTimeOfTheCallsToCome(t *testing.T) {
	c := qt.New(t)
	l, times := learned()
	end := start.Add(time.Second)
	run := l.BeginRun(start, "caller", end)
	run.Reserve, run.CallsToCome = 300*time.Millisecond, 5
	for remaining := 3; remaining >= 0; remaining-- {
		l.ObserveCall(start, "call", end)
		r := times.ForCall(l, start, "call", end, oneGate)
		c.Check(r, qt.Equals, Reserve{Time: 300*time.Millisecond + time.Duration(remaining)*50*time.Millisecond, Calls: float64(remaining) + 5})
	}
	early := end.Add(-400 * time.Millisecond) // the call's own limit, and its caller has 400 ms after it
	l.Update(start)
	c.Check(times.ForCall(l, start, "call", early, oneGate), qt.Equals, Reserve{})
}

// Guards against a reserve that belongs to another run: only the least of all that may have made the call is certain.
func TestUncertainCallersGiveTheLeastReserve(t *testing.T) {
	c := qt.New(t)
	l, times := learned()
	end := start.Add(time.Second)
	for _, reserve := range []time.Duration{500, 100, 300} {
		l.BeginRun(start, "caller", end).Reserve = reserve * time.Millisecond
	}
	l.ObserveCall(start, "call", end)
	got := times.ForCall(l, start, "call", end, oneGate).Time
	c.Check(got > 240*time.Millisecond && got < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got)) // 100 ms and 3 2/3 calls
	c.Check(times.ForCall(l, start, "other", end, oneGate), qt.Equals, Reserve{})
}

// Guards against adding up the times of calls that a run makes at once.
func TestParallelCallsReserveTheTimeOfTheRun(t *testing.T) {
	c := qt.New(t)
	l, times := learned()
	for range 20 {
		times.ObserveRun("caller", 50*time.Millisecond) // all four calls of 50 ms
	}
	end := start.Add(time.Second)
	l.BeginRun(start, "caller", end)
	l.ObserveCall(start, "call", end)
	c.Check(times.ForCall(l, start, "call", end, oneGate).Time, qt.Equals, 37500*time.Microsecond)
}

func TestHeaderValues(t *testing.T) {
	c := qt.New(t)
	r := Reserve{Time: 1234 * time.Millisecond, Calls: 2.1}
	c.Check(r.String(), qt.Equals, "1234,3")
	c.Check(Parse(r.String()), qt.Equals, Reserve{Time: r.Time, Calls: 3})
	c.Check(Parse("50"), qt.Equals, Reserve{Time: 50 * time.Millisecond})
	c.Check(Parse("50,x"), qt.Equals, Reserve{Time: 50 * time.Millisecond})
	for _, v := range []string{"", "-5,1", "0,4", "1.5", "x,1", "99999999999999999999,1"} {
		c.Check(Parse(v), qt.Equals, Reserve{}, qt.Commentf("%q", v))
	}
	c.Check(r.AtMost(time.Second).Time, qt.Equals, time.Second)
	c.Check(r.Within(2*time.Second).Time, qt.Equals, time.Duration(0))
}

func TestAtMostHalfOfTheCallsAreRefused(t *testing.T) {
	c := qt.New(t)
	var l RefusalLimit
	now := start
	for window := range 3 {
		refused := 0
		for range 100 {
			l.Arrive(now, "call")
			if l.TakeRefusal(now, "call") {
				refused++
			}
		}
		c.Check(refused, qt.Equals, 50, qt.Commentf("window %d", window))
		now = now.Add(refusalWindow)
	}
}

func TestLongestTimeIsThatOfRecentRequests(t *testing.T) {
	c := qt.New(t)
	var times Times
	c.Check(times.LongestCall("r"), qt.Equals, time.Duration(0))
	for i := range 2000 {
		times.ObserveCall("r", time.Second+time.Duration(i*7919%1000)*time.Millisecond)
	}
	longest := times.LongestCall("r")
	c.Check(longest > 1980*time.Millisecond && longest < 2*time.Second, qt.IsTrue, qt.Commentf("%v", longest))
	times.ObserveCall("r", 5*time.Second)
	for range longestBlock {
		c.Assert(times.LongestCall("r"), qt.Equals, 5*time.Second)
		times.ObserveCall("r", time.Second)
	}
	for range longestBlock {
		times.ObserveCall("r", time.Second)
	}
	c.Check(times.LongestCall("r"), qt.Equals, time.Second, qt.Commentf("an earlier time doesn't count for good"))
	c.Check(times.LongestCall("other"), qt.Equals, time.Duration(0))
	usual, short := times.Call("r"), times.Short("r")
	times.ObserveStream("r", 7*time.Second)
	times.ObserveStream("r", 2*time.Second)
	times.ObserveStream("other", time.Second)
	c.Check(times.LongestCall("r"), qt.Equals, 7*time.Second)
	c.Check(times.LongestCall("other"), qt.Equals, time.Duration(0))
	c.Check(times.Call("r"), qt.Equals, usual)
	c.Check(times.Short("r"), qt.Equals, short)
	c.Check(times.LongestRun("r"), qt.Equals, time.Duration(0))
	times.ObserveRun("r", time.Minute)
	c.Check(times.LongestRun("r"), qt.Equals, time.Minute)
}
