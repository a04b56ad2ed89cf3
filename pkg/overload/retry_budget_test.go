package overload

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// A retry is paid for at every service that its calls reach.
func TestRetriesPayForTheirCalls(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	b := RetryBudget{Ratio: 0.1, DownstreamRatio: 0.1, Burst: 2}
	runs := map[string]float64{"top": 1, "low": 4}
	c.Assert(b.TryWithdraw(now, runs), qt.IsFalse, qt.Commentf("two tokens don't pay for four runs"))
	for range 50 {
		b.Deposit(now, "top", runs)
	}
	for range 5 {
		c.Assert(b.TryWithdraw(now, runs), qt.IsTrue, qt.Commentf("twenty deposited below and the burst"))
	}
	c.Assert(b.TryWithdraw(now, runs), qt.IsFalse)
	c.Assert(b.TryWithdraw(now, map[string]float64{"top": 1}), qt.IsTrue, qt.Commentf("a refused withdrawal takes nothing"))
}

// Guards against deposits that expire at once: with a service that begins to refuse half of its calls, retries to other
// servers then last for a second only. No window may have more withdrawals than the bound allows.
func TestDepositsLastForAWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const window, step = 10 * time.Second, 100 * time.Millisecond
		b := RetryBudget{Ratio: 0.08, Burst: 1, Window: window}
		now := time.Unix(0, 0)
		var requested, withdrawn []float64 // by step
		phase, rate, need := 0, 0, 0.0
		for i := range 400 {
			if phase--; phase <= 0 {
				phase = rapid.IntRange(10, 150).Draw(r, "phase")
				rate = rapid.IntRange(0, 40).Draw(r, "rate")
				need = rapid.Float64Range(0, 1).Draw(r, "need")
			}
			now = now.Add(step)
			took := 0.0
			for range rate {
				b.Deposit(now, "s", map[string]float64{"s": 1})
			}
			for range int(need * float64(rate)) {
				if b.TryWithdraw(now, map[string]float64{"s": 1}) {
					took++
				}
			}
			requested, withdrawn = append(requested, float64(rate)), append(withdrawn, took)
			per := int(window / step)
			if i < 2*per {
				continue
			}
			most := max(sum(requested[i-per:i]), sum(requested[i-2*per:i-per]))
			if got := sum(withdrawn[i-per : i]); got > 0.2*most+2 {
				r.Fatalf("%v withdrawn, at most %v requested in a window", got, most)
			}
		}
	})
}

// Deposits from before a fault pay for retries in its first seconds.
func TestEarlierDepositsPayForASuddenFault(t *testing.T) {
	c := qt.New(t)
	b := RetryBudget{Ratio: 0.08, Burst: 1, Window: 10 * time.Second}
	now, one := time.Unix(0, 0), map[string]float64{"s": 1}
	for range 10_000 {
		now = now.Add(time.Millisecond)
		b.Deposit(now, "s", one)
	}
	paid := 0
	for b.TryWithdraw(now, one) {
		paid++
	}
	c.Assert(paid > 300, qt.IsTrue, qt.Commentf("%d", paid))
}

// Guards against a budget of which half can never be used: calls whose answers are lost aren't retried, and their roots
// fail. All deposits must be usable, and no window may have more withdrawals than deposits.
func TestAllDepositsCanBeWithdrawn(t *testing.T) {
	c := qt.New(t)
	const step = 10 * time.Millisecond
	b := RetryBudget{Ratio: 0.1, Window: 10 * time.Second}
	now, one := time.Unix(0, 0), map[string]float64{"s": 1}
	var withdrawn []float64
	for range 6000 {
		now = now.Add(step)
		for range 5 {
			b.Deposit(now, "s", one)
		}
		took := 0.0
		for b.TryWithdraw(now, one) {
			took++
		}
		withdrawn = append(withdrawn, took)
	}
	const per = 1000
	for i := 2 * per; i < len(withdrawn); i += 10 {
		got := sum(withdrawn[i-per : i])
		c.Assert(got <= 500 && got > 440, qt.IsTrue, qt.Commentf("%v of 500 in a window", got))
	}
}

func sum(v []float64) float64 {
	total := 0.0
	for _, x := range v {
		total += x
	}
	return total
}

// Guards against windows by the wall clock: a jump ahead drops past withdrawals, and their tokens could be used again.
func TestWindowsGoByTheMonotonicClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := RetryBudget{Burst: 1, Window: 10 * time.Second}
		one := map[string]float64{"s": 1}
		begun := time.Now()
		c.Assert(b.TryWithdraw(begun, one), qt.IsTrue)
		time.Sleep(time.Second)
		c.Assert(b.TryWithdraw(time.Now(), one), qt.IsFalse)
		parts := b.windowOf(time.Now(), "s").step
		c.Assert(parts, qt.Equals, int64(2), qt.Commentf("counted from the first use, not by the wall clock"))
		time.Sleep(10 * time.Second)
		c.Assert(b.TryWithdraw(time.Now(), one), qt.IsTrue)
	})
}
