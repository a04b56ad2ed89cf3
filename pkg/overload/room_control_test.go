package overload

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// overloadedServer plays a server for a time: the plan lets in by the learned cost, the calls cost more in truth.
// It returns the share turned away in the last second. The effect of the control comes late.
func overloadedServer(c *UsableFractionController, demand, understated float64, span time.Duration) float64 {
	const step, lag = 100 * time.Millisecond, 10
	now := time.Unix(1000, 0)
	parts := []float64{}
	turned := 0.0
	for range span / step {
		now = now.Add(step)
		parts = append(parts, c.UsableFraction())
		part := parts[max(len(parts)-1-lag, 0)]
		load := min(demand, TargetUtilization*part*understated) // 1 is what the server can take
		turned = max(load-1, 0) / load
		c.Observe(now, GateLoad{RejectedShare: turned, Utilization: 1})
	}
	return turned
}

// Costs that were learned too low let in several times too much, for as long as it was watched.
func TestRoomIsTakenUntilNothingIsTurnedAway(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	first := overloadedServer(&r, 4, 3.5, time.Second)
	c.Assert(first > 0.5, qt.IsTrue, qt.Commentf("%v", first))
	later := overloadedServer(&r, 4, 3.5, 12*time.Second+learnTime)
	c.Assert(later < 0.15, qt.IsTrue, qt.Commentf("%v, part %v", later, r.UsableFraction()))
	c.Assert(r.UsableFraction() > 0.15, qt.IsTrue, qt.Commentf("%v", r.UsableFraction()))
}

func TestRoomIsGivenBack(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	overloadedServer(&r, 4, 3.5, 10*time.Second+learnTime)
	c.Assert(r.UsableFraction() < 0.5, qt.IsTrue)
	overloadedServer(&r, 0.5, 1, 20*time.Second)
	c.Assert(r.UsableFraction(), qt.Equals, 1.0)
}

// What had been turned away was counted for seconds after the requests had stopped to come: a server whose slots were all
// free lost room all the same, and got it back a quarter a second later on.
func TestAServerWithFreeSlotsLosesNoRoom(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	overloadedServer(&r, 4, 3.5, 10*time.Second+learnTime)
	now := r.last
	for range 7 {
		now = now.Add(100 * time.Millisecond)
		r.Observe(now, GateLoad{RejectedShare: 0.6, Utilization: 0.2})
	}
	c.Assert(r.UsableFraction(), qt.Equals, 1.0)
}

func TestAFewTurnedAwayTakeNoRoom(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r.Observe(now, GateLoad{RejectedShare: 0.02, Utilization: 1})
	}
	c.Assert(r.UsableFraction(), qt.Equals, 1.0)
}

// Whatever comes, something is left to plan for; never more than there is where nothing is held down for it, and else
// never more than a few times that.
func TestRoomStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var c UsableFractionController
		now := time.Unix(1000, 0)
		held := rapid.Bool().Draw(r, "ever held down")
		most := 1.0
		if held {
			most = mostRoom
		}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(r, "step")))
			c.Observe(now, GateLoad{
				RejectedShare: rapid.Float64Range(0, 1).Draw(r, "turned away"),
				Utilization:   rapid.Float64Range(0, 3).Draw(r, "use"), Bottleneck: held && rapid.Bool().Draw(r, "binding"),
			})
			if p := c.UsableFraction(); p < leastRoom-1e-9 || p > most+1e-9 {
				r.Fatalf("part %v", p)
			}
		}
	})
}

// In the first seconds of a day nobody knew the costs, half of all was turned away, and the room that was taken for that was
// missed for seconds after they were known.
func TestNothingIsTakenBeforeCostsCanBeKnown(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	now := time.Unix(1000, 0)
	for range int(learnTime / (100 * time.Millisecond)) {
		r.Observe(now, GateLoad{RejectedShare: 0.5, Utilization: 1})
		now = now.Add(100 * time.Millisecond)
	}
	c.Assert(r.UsableFraction(), qt.Equals, 1.0)
	r.Observe(now.Add(time.Second), GateLoad{RejectedShare: 0.5, Utilization: 1})
	c.Assert(r.UsableFraction() < 1, qt.IsTrue)
}

// A node that got its desired state 13 s after its start had no time to learn any more.
func TestAnIdleServerLearnsNothing(t *testing.T) {
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

// controlledServer plays a server whose requests take a part of what they cost by the plan; it returns the least and
// the most use of the last three seconds, and the most that was turned away in them.
func controlledServer(c *UsableFractionController, now time.Time, demand, part float64, span time.Duration) (least, most, turned float64) {
	const step, lag = 200 * time.Millisecond, 4
	parts, least := []float64{c.UsableFraction()}, 10.0
	for at := time.Duration(0); at < span; at += step {
		now = now.Add(step)
		room := parts[max(len(parts)-1-lag, 0)] * TargetUtilization
		use := min(demand, room) * part // 1 is what the server can take
		away := max(use-1.3, 0) / max(use, 1)
		if span-at <= 3*time.Second {
			least, most, turned = min(least, use), max(most, use), max(turned, away)
		}
		c.Observe(now, GateLoad{RejectedShare: away, Utilization: use, Bottleneck: demand >= bindingShare*room})
		parts = append(parts, c.UsableFraction())
	}
	return least, most, turned
}

// A service turned half of its work away whatever its load. Its calls ended so soon that its slots were half free, and
// still clients that came back were all refused, since by the costs of whole requests it was full.
func TestRoomIsAddedWhileSlotsStayFree(t *testing.T) {
	c := qt.New(t)
	var r UsableFractionController
	now := time.Unix(1000, 0)
	controlledServer(&r, now, 0.5, 1, 10*time.Second)
	c.Assert(r.UsableFraction(), qt.Equals, 1.0, qt.Commentf("nothing is held down for it"))
	least, most, _ := controlledServer(&r, now.Add(10*time.Second), 4, 0.4, 12*time.Second)
	c.Assert(least > 0.65 && most < 1.2, qt.IsTrue, qt.Commentf("%v to %v", least, most))
	_, _, turned := controlledServer(&r, now.Add(22*time.Second), 4, 1, 8*time.Second)
	c.Assert(turned < 0.2, qt.IsTrue, qt.Commentf("%v once it takes all of its work again", turned))
}
