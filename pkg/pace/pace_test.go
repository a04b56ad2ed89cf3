package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var begin = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func near(c *qt.C, got, want, tolerance float64) {
	c.Helper()
	c.Check(math.Abs(got-want) <= tolerance, qt.IsTrue, qt.Commentf("%v, want %v", got, want))
}

// A server that is avoided for its pace tells no newer one. Without aging it would be avoided for good.
func TestToldPaceAgesToUsual(t *testing.T) {
	c := qt.New(t)
	var k Told
	c.Assert(k.At(at(0)), qt.Equals, Usual)
	c.Assert(k.Known(), qt.IsFalse)
	k.Set(at(0), 2.5)
	c.Assert(k.Known(), qt.IsTrue)
	c.Assert(k.At(at(600)), qt.Equals, 2.5)
	near(c, k.At(at(800)), 1+1.5/math.E, 0.001)
	near(c, k.At(at(5000)), 1, 0.001)
	k.Set(at(5000), 2.5)
	k.Set(at(5500), 2.5)
	c.Assert(k.At(at(6100)), qt.Equals, 2.5, qt.Commentf("told again"))
}

func TestMeanPaceOfARun(t *testing.T) {
	c := qt.New(t)
	var k Told
	c.Assert(k.Mean(at(0), at(100)), qt.Equals, Usual)
	k.Set(at(100), 1)
	near(c, k.Mean(at(0), at(100)), 1, 0)
	k.Set(at(500), 2.5)
	near(c, k.Mean(at(400), at(600)), 1.75, 1e-9)
	near(c, k.Mean(at(550), at(600)), 2.5, 1e-9)
	k.Set(at(9000), 1)
	near(c, k.Mean(at(8900), at(9000)), 1, 1e-9) // the pace of 8 s before isn't valid any more
	near(c, k.Mean(at(9000), at(9000)), 1, 0)
	for i := range 100 {
		k.Set(at(9000+10*i), 1+float64(i%2))
	}
	near(c, k.Mean(at(9850), at(9990)), 1.5, 0.1)
}

// Speeds are told apart though one item in 33 takes seven times as long and the server is in a slow spell for some of the time.
func TestLastingSpeedLeavesOutPaceAndLongItems(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, speed := range []float64{0.5, 0.7, 1, 1.7} {
		var s Speed
		least, most := math.Inf(1), 0.0
		for i := range 3000 {
			pace := []float64{1, 2.5}[i/60%7/6]
			work := 100 * (0.5 + rnd.Float64())
			if rnd.IntN(33) == 0 {
				work *= 7
			}
			s.Observe(time.Duration(work*speed*pace*float64(time.Millisecond)), 118*time.Millisecond, pace, 0)
			if i > 300 {
				least, most = min(least, s.Slowdown()), max(most, s.Slowdown())
			}
		}
		c.Check(least > 0.7*speed && most < 1.3*speed, qt.IsTrue, qt.Commentf("%v: %v to %v", speed, least, most))
	}
}

func TestServerThatTurnsSlowIsFollowed(t *testing.T) {
	c := qt.New(t)
	var s Speed
	s.Observe(time.Second, 0, 1, 0)
	c.Assert(s.Slowdown(), qt.Equals, 1.0, qt.Commentf("of an unknown kind"))
	for range 60 {
		s.Observe(1200*time.Millisecond, 100*time.Millisecond, 1, 0)
	}
	c.Assert(s.Slowdown() > 5, qt.IsTrue, qt.Commentf("%v after 60 runs of 12 times the time", s.Slowdown()))
	for range 10_000 {
		s.Observe(time.Hour, time.Millisecond, 1, 0)
	}
	c.Assert(s.Slowdown() <= maxSlowdown, qt.IsTrue)
}

// A run that waits for its calls isn't lengthened by its server's pace meanwhile.
func TestCallsAreLeftOutOfThePace(t *testing.T) {
	c := qt.New(t)
	near(c, Factor(2.5, 0), 2.5, 1e-9)
	near(c, Factor(2.5, 0.8), 1.3, 1e-9)
	c.Assert(Hold(100*time.Millisecond, 0.7, Factor(2, 0.5)), qt.Equals, 105*time.Millisecond)
}

func TestCompletionTime(t *testing.T) {
	c := qt.New(t)
	c.Assert(CompletionTime(0.7, 0), qt.Equals, 0.7)
	c.Assert(CompletionTime(0.7, 0.5) < CompletionTime(1, 0.2), qt.IsTrue, qt.Commentf("fast, with free slots"))
	c.Assert(CompletionTime(0.7, 1.3) > CompletionTime(1.7, 0.3), qt.IsTrue, qt.Commentf("fast, with a queue"))
}

func TestWorkPerSlot(t *testing.T) {
	c := qt.New(t)
	near(c, WorkPerSlot(1.7, 1, 1), 1/1.7, 1e-9)
	near(c, WorkPerSlot(1.2, 1.2, 2.5), 0.4, 1e-9)
	near(c, WorkPerSlot(1.2, 1.2, 1), 1, 1e-9)
	near(c, WorkPerSlot(12, 1, 1), minWorkPerSlot, 0)
	near(c, WorkPerSlot(0.01, 1, 1), maxWorkPerSlot, 0)
	near(c, WorkPerSlot(0, 1, 1), 1, 0)
}
