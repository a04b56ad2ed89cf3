package gate

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rockspoke/rockspoke/pkg/advertised"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

func perSecond(rate float64) advertised.RateLimit {
	return advertised.RateLimit{Advertised: true, PerSecond: rate}
}

func TestRateLimitHoldsBackTicketsThatHaveASlot(t *testing.T) {
	c := qt.New(t)
	g := openGate(100, 20*time.Millisecond)
	g.SetRateLimit(begin, perSecond(20))
	var got []Decision
	c.Assert(g.Submit(begin, ticket(false, 0, time.Second, &got)).Queued, qt.IsTrue, qt.Commentf("the bucket begins empty"))
	wait, ok := g.NextStart(begin)
	c.Assert(ok, qt.IsTrue)
	c.Assert(wait, qt.Equals, 50*time.Millisecond)
	d := g.Submit(begin, ticket(false, 0, time.Second, &got))
	c.Assert(d, qt.Equals, Decision{Reason: wire.ReasonRateLimit, RetryAfter: 100 * time.Millisecond})
	g.StartQueued(begin.Add(49 * time.Millisecond))
	c.Assert(got, qt.HasLen, 0)
	g.StartQueued(begin.Add(50 * time.Millisecond))
	c.Assert(got, qt.DeepEquals, []Decision{{Start: true}})
	g.SetRateLimit(begin.Add(60*time.Millisecond), advertised.RateLimit{})
	c.Assert(g.Submit(begin.Add(60*time.Millisecond), ticket(false, 0, time.Second, &got)).Start, qt.IsTrue)
}

// Calls of requests in progress and urgent roots get the next token.
func TestCallsGoFirstAtTheRateLimit(t *testing.T) {
	c := qt.New(t)
	g := openGate(100, 20*time.Millisecond)
	g.SetRateLimit(begin, perSecond(40))
	var root, call []Decision
	c.Assert(g.Submit(begin, ticket(false, 2, time.Second, &root)).Queued, qt.IsTrue)
	c.Assert(g.Submit(begin, ticket(true, 5, time.Second, &call)).Queued, qt.IsTrue)
	g.StartQueued(begin.Add(25 * time.Millisecond))
	c.Assert([]int{len(call), len(root)}, qt.DeepEquals, []int{1, 0})
	g.StartQueued(begin.Add(50 * time.Millisecond))
	c.Assert([]int{len(call), len(root)}, qt.DeepEquals, []int{1, 1})
}

func TestRaisedOrLiftedLimitStartsQueuedTickets(t *testing.T) {
	c := qt.New(t)
	g := openGate(100, 20*time.Millisecond)
	g.SetRateLimit(begin, perSecond(20))
	var got []Decision
	c.Assert(g.Submit(begin, ticket(true, 0, time.Second, &got)).Queued, qt.IsTrue)
	c.Assert(g.Submit(begin, ticket(true, 0, time.Second, &got)).Queued, qt.IsTrue)
	g.SetRateLimit(begin, advertised.RateLimit{})
	c.Assert(got, qt.HasLen, 2)
	_, ok := g.NextStart(begin)
	c.Assert(ok, qt.IsFalse)
}

// A server that takes nothing is still asked now and then: only an answer shows that its limit is lifted.
func TestLowestLimitsLetARequestThroughEachSecond(t *testing.T) {
	c := qt.New(t)
	for _, rate := range []float64{0, 0.2} {
		g := openGate(100, 20*time.Millisecond)
		g.SetRateLimit(begin, perSecond(rate))
		c.Assert(g.RateLimit(begin).PerSecond, qt.Equals, minRate)
		started := 0
		for ms := range 10_000 {
			now := begin.Add(time.Duration(ms) * time.Millisecond)
			if g.Submit(now, &Ticket{Deadline: now.Add(time.Second), Notify: func(Decision) { started++ }}).Start {
				started++
			}
			g.StartQueued(now)
		}
		c.Assert(started >= 9 && started <= 10, qt.IsTrue, qt.Commentf("%d", started))
	}
}

// rateSegment is a limit in force from a time on.
type rateSegment struct {
	from time.Time
	rate float64
}

// allowedIn returns what the segments allow in a window, at minRate or more.
func allowedIn(segments []rateSegment, from, to time.Time) float64 {
	sum := 0.0
	for i, s := range segments {
		begin, end := s.from, to
		if i+1 < len(segments) && segments[i+1].from.Before(to) {
			end = segments[i+1].from
		}
		if begin.Before(from) {
			begin = from
		}
		if begin.Before(end) {
			sum += max(s.rate, minRate) * end.Sub(begin).Seconds()
		}
	}
	return sum
}

// In any sequence of limits, arrivals, restarts of the gate and lifetimes of the server, no window of four seconds has more
// starts than the limits allow, plus one burst.
func TestStartsStayWithinTheRateLimitInEveryWindow(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(r *rapid.T) {
		g := openGate(50, 20*time.Millisecond)
		now := begin
		limits := []rateSegment{{now, 20}}
		g.SetRateLimit(now, perSecond(20))
		var starts []time.Time
		limited := true
		note := func(d Decision) {
			if d.Start && limited {
				starts = append(starts, now)
			}
		}
		highest := 20.0
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 60, 900}).Draw(r, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"ask", "ask", "ask", "ask", "timer", "end", "limit", "restart", "lifetime"}).Draw(r, "what") {
			case "ask":
				note(g.Submit(now, &Ticket{Internal: rapid.Bool().Draw(r, "call"), Deadline: now.Add(3 * time.Second), Notify: note}))
			case "timer":
				g.StartQueued(now)
			case "end":
				if g.running > 0 {
					g.Finish(now, 20*time.Millisecond, 0, Answered)
				}
			case "limit":
				rate := rapid.SampledFrom([]float64{0, 0.2, 1, 8.5, 15.5, 40, 200}).Draw(r, "rate")
				highest = max(highest, rate)
				limits = append(limits, rateSegment{now, rate})
				g.SetRateLimit(now, perSecond(rate))
			case "restart":
				g.Close()
				g = openGate(50, 20*time.Millisecond)
				g.SetRateLimit(now, perSecond(limits[len(limits)-1].rate))
			case "lifetime":
				limited = false // queued tickets go to the next server, which names no limit until its first answer
				g.SetRateLimit(now, advertised.RateLimit{})
				limited = true
				g.Open(50, true)
				g.SetRateLimit(now, perSecond(limits[len(limits)-1].rate))
			}
		}
		for i, from := range starts {
			end := i
			for end < len(starts) && starts[end].Sub(from) < window {
				end++
			}
			burst := max(highest*burstTime.Seconds(), 1)
			allowed := allowedIn(limits, from, from.Add(window)) + burst
			if got := float64(end - i); got > math.Ceil(allowed) {
				r.Fatalf("%v starts in four seconds, %.2f are allowed", got, allowed)
			}
		}
	})
}

// BenchmarkSubmit measures the gate's cost per request, with and without a rate limit.
func BenchmarkSubmit(b *testing.B) {
	for name, limit := range map[string]advertised.RateLimit{"unlimited": {}, "limited": perSecond(1e9)} {
		b.Run(name, func(b *testing.B) {
			g := openGate(100, 20*time.Millisecond)
			g.SetRateLimit(begin, limit)
			now := begin
			t := Ticket{Deadline: begin.Add(time.Hour), Notify: func(Decision) {}}
			for b.Loop() {
				now = now.Add(time.Microsecond)
				if g.Submit(now, &t).Start {
					g.Finish(now, time.Millisecond, 0, Answered)
				}
			}
		})
	}
}
