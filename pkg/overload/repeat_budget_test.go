package overload

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// A repeat is paid at every service that its calls reach.
func TestRepeatsPayForTheirCalls(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	b := RetryBudget{Ratio: 0.1, DownstreamRatio: 0.1, Burst: 2}
	whole := map[string]float64{"top": 1, "low": 4}
	c.Assert(b.TryWithdraw(now, whole), qt.IsFalse, qt.Commentf("two tokens don't pay four runs"))
	for range 50 {
		b.Deposit(now, "top", whole)
	}
	for range 5 {
		c.Assert(b.TryWithdraw(now, whole), qt.IsTrue, qt.Commentf("twenty earned below and the burst"))
	}
	c.Assert(b.TryWithdraw(now, whole), qt.IsFalse)
	c.Assert(b.TryWithdraw(now, map[string]float64{"top": 1}), qt.IsTrue, qt.Commentf("a refused repeat takes nothing"))
}

// A service that began to refuse half of its calls was gone around for a second only: what had been earned before was
// lost. In no window is more spent than the bound allows.
func TestRepeatsAreKeptForAWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const window, step = 10 * time.Second, 100 * time.Millisecond
		b := RetryBudget{Ratio: 0.08, Burst: 1, Window: window}
		now := time.Unix(0, 0)
		var asked, spent []float64 // by step
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
			asked, spent = append(asked, float64(rate)), append(spent, took)
			per := int(window / step)
			if i < 2*per {
				continue
			}
			most := max(sum(asked[i-per:i]), sum(asked[i-2*per:i-per]))
			if got := sum(spent[i-per : i]); got > 0.2*most+2 {
				r.Fatalf("%v spent, at most %v asked in a window", got, most)
			}
		}
	})
}

// What was earned in calm pays for the first seconds of a fault.
func TestASuddenFaultCanBePaidFor(t *testing.T) {
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

// Half of what the operator allows was never used: calls whose answers were lost weren't sent again, and their roots
// failed. What is earned can be spent in full, and in no window is more spent than was earned in it.
func TestAllThatIsEarnedCanBeSpent(t *testing.T) {
	c := qt.New(t)
	const step = 10 * time.Millisecond
	b := RetryBudget{Ratio: 0.1, Window: 10 * time.Second}
	now, one := time.Unix(0, 0), map[string]float64{"s": 1}
	var spent []float64
	for range 6000 {
		now = now.Add(step)
		for range 5 {
			b.Deposit(now, "s", one)
		}
		took := 0.0
		for b.TryWithdraw(now, one) {
			took++
		}
		spent = append(spent, took)
	}
	const per = 1000
	for i := 2 * per; i < len(spent); i += 10 {
		got := sum(spent[i-per : i])
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

// Windows went by the time of day: where it jumped ahead, what had been spent was forgotten and could be spent again.
func TestWindowsGoByTheSteadyClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := RetryBudget{Burst: 1, Window: 10 * time.Second}
		one := map[string]float64{"s": 1}
		begun := time.Now()
		c.Assert(b.TryWithdraw(begun, one), qt.IsTrue)
		time.Sleep(time.Second)
		c.Assert(b.TryWithdraw(time.Now(), one), qt.IsFalse)
		parts := b.of(time.Now(), "s").part
		c.Assert(parts, qt.Equals, int64(2), qt.Commentf("counted from the first use, not by the time of day"))
		time.Sleep(10 * time.Second)
		c.Assert(b.TryWithdraw(time.Now(), one), qt.IsTrue)
	})
}
