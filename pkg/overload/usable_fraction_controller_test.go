package overload

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// simulateMispricedOverload simulates a server whose calls cost more than learned, by the factor understated. It returns
// the rejected share of the last second. The effect of the controller is delayed by reports and requests in flight.
func simulateMispricedOverload(c *UsableFractionController, demand, understated float64, span time.Duration) float64 {
	const step, lag = 100 * time.Millisecond, 10
	now := time.Unix(1000, 0)
	fractions := []float64{}
	rejected := 0.0
	for range span / step {
		now = now.Add(step)
		fractions = append(fractions, c.UsableFraction())
		fraction := fractions[max(len(fractions)-1-lag, 0)]
		load := min(demand, TargetUtilization*fraction*understated) // 1 is what the server can take
		rejected = max(load-1, 0) / load
		c.Observe(now, GateLoad{RejectedShare: rejected, Utilization: 1})
	}
	return rejected
}

// Costs learned too low admit several times too much. Without the controller that doesn't end by itself.
func TestSlotsAreWithheldUntilNothingIsRejected(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	first := simulateMispricedOverload(&r, 4, 3.5, time.Second)
	c.Assert(first > 0.5, qt.IsTrue, qt.Commentf("%v", first))
	later := simulateMispricedOverload(&r, 4, 3.5, 12*time.Second+learningTime)
	c.Assert(later < 0.15, qt.IsTrue, qt.Commentf("%v, fraction %v", later, r.UsableFraction()))
	c.Assert(r.UsableFraction() > 0.15, qt.IsTrue, qt.Commentf("%v", r.UsableFraction()))
}

func TestWithheldSlotsAreRestored(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	simulateMispricedOverload(&r, 4, 3.5, 10*time.Second+learningTime)
	c.Assert(r.UsableFraction() < 0.5, qt.IsTrue)
	simulateMispricedOverload(&r, 0.5, 1, 20*time.Second)
	c.Assert(r.UsableFraction(), qt.Equals, 1.0)
}

// Guards against slots withheld for old rejections: these count for seconds after requests have stopped, and a server
// with free slots lost usable slots for them, which were restored at a quarter a second only.
func TestNothingIsWithheldWhileSlotsAreFree(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	simulateMispricedOverload(&r, 4, 3.5, 10*time.Second+learningTime)
	now := r.lastObserved
	for range 7 {
		now = now.Add(100 * time.Millisecond)
		r.Observe(now, GateLoad{RejectedShare: 0.6, Utilization: 0.2})
	}
	c.Assert(r.UsableFraction(), qt.Equals, 1.0)
}

func TestFewRejectionsWithholdNothing(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r.Observe(now, GateLoad{RejectedShare: 0.02, Utilization: 1})
	}
	c.Assert(r.UsableFraction(), qt.Equals, 1.0)
}

// The fraction never falls below minFraction, never exceeds 1 if the server is never a bottleneck, and never exceeds
// maxGain.
func TestFractionStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var c UsableFractionController
		now := time.Unix(1000, 0)
		bottleneck := rapid.Bool().Draw(r, "ever held down")
		most := 1.0
		if bottleneck {
			most = maxGain
		}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(r, "step")))
			c.Observe(now, GateLoad{
				RejectedShare: rapid.Float64Range(0, 1).Draw(r, "rejected"),
				Utilization:   rapid.Float64Range(0, 3).Draw(r, "use"), Bottleneck: bottleneck && rapid.Bool().Draw(r, "binding"),
			})
			if p := c.UsableFraction(); p < minFraction-1e-9 || p > most+1e-9 {
				r.Fatalf("fraction %v", p)
			}
		}
	})
}

// Guards against withholding during learning: just after the start no costs are known and half of all requests are
// rejected. Slots withheld for that were missing for seconds after the costs were known.
func TestNothingIsWithheldWhileCostsAreLearned(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	now := time.Unix(1000, 0)
	for range int(learningTime / (100 * time.Millisecond)) {
		r.Observe(now, GateLoad{RejectedShare: 0.5, Utilization: 1})
		now = now.Add(100 * time.Millisecond)
	}
	c.Assert(r.UsableFraction(), qt.Equals, 1.0)
	r.Observe(now.Add(time.Second), GateLoad{RejectedShare: 0.5, Utilization: 1})
	c.Assert(r.UsableFraction() < 1, qt.IsTrue)
}

// The learning time begins with the first request: a node that gets its desired state 13 s after its start would
// otherwise have no learning time left.
func TestLearningTimeBeginsWithTheFirstUse(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	now := time.Unix(1000, 0)
	for range 130 {
		r.Observe(now, GateLoad{})
		now = now.Add(100 * time.Millisecond)
	}
	for range 20 {
		r.Observe(now, GateLoad{RejectedShare: 0.7, Utilization: 3})
		now = now.Add(100 * time.Millisecond)
	}
	c.Assert(r.UsableFraction(), qt.Equals, 1.0)
}

// simulateCheapFailures simulates a server whose requests take only a fraction of their planned cost. It returns the lowest
// and highest utilization and the highest rejected share of the last three seconds.
func simulateCheapFailures(c *UsableFractionController, now time.Time, demand, fraction float64, span time.Duration) (least, most, rejected float64) {
	const step, lag = 200 * time.Millisecond, 4
	fractions, least := []float64{c.UsableFraction()}, 10.0
	for at := time.Duration(0); at < span; at += step {
		now = now.Add(step)
		available := fractions[max(len(fractions)-1-lag, 0)] * TargetUtilization
		use := min(demand, available) * fraction // 1 is what the server can take
		rejectedNow := max(use-1.3, 0) / max(use, 1)
		if span-at <= 3*time.Second {
			least, most, rejected = min(least, use), max(most, use), max(rejected, rejectedNow)
		}
		c.Observe(now, GateLoad{RejectedShare: rejectedNow, Utilization: use, Bottleneck: demand >= bottleneckUtilization*available})
		fractions = append(fractions, c.UsableFraction())
	}
	return least, most, rejected
}

// Guards against idle slots at a failing service: it rejects half of its work whatever its load, its calls end so soon
// that half of its slots are free, and all client retries were still rejected, since by full request costs it is full.
func TestUsableSlotsAreRaisedWhileSlotsStayFree(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	now := time.Unix(1000, 0)
	simulateCheapFailures(&r, now, 0.5, 1, 10*time.Second)
	c.Assert(r.UsableFraction(), qt.Equals, 1.0, qt.Commentf("it isn't a bottleneck"))
	least, most, _ := simulateCheapFailures(&r, now.Add(10*time.Second), 4, 0.4, 12*time.Second)
	c.Assert(least > 0.65 && most < 1.2, qt.IsTrue, qt.Commentf("%v to %v", least, most))
	_, _, rejected := simulateCheapFailures(&r, now.Add(22*time.Second), 4, 1, 8*time.Second)
	c.Assert(rejected < 0.2, qt.IsTrue, qt.Commentf("%v once it runs all of its work again", rejected))
}
