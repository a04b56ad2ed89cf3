package advertised

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func limit(perSecond float64) RateLimit { return RateLimit{true, perSecond} }

func TestLimitAppliesFromTheFirstAnswerThatAdvertisesIt(t *testing.T) {
	c := qt.New(t)
	var k Tracker
	c.Assert(k.Observe(at(0), at(10), RateLimit{}), qt.IsFalse)
	c.Assert(k.Observe(at(0), at(20), limit(5)), qt.IsTrue)
	c.Assert(k.Observe(at(15), at(30), limit(5)), qt.IsFalse)
	c.Assert(k.Limit(), qt.Equals, limit(5))
	c.Assert(k.Age(at(90)), qt.Equals, 60*time.Millisecond)
}

// An answer that was written before the limit was advertised must not end it, nor raise it, when it arrives later.
func TestAnswersFromBeforeTheLimitDontEndIt(t *testing.T) {
	c := qt.New(t)
	var k Tracker
	k.Observe(at(0), at(100), limit(5))
	c.Assert(k.Observe(at(50), at(120), RateLimit{}), qt.IsFalse)
	c.Assert(k.Observe(at(50), at(120), limit(40)), qt.IsFalse)
	c.Assert(k.Observe(at(50), at(120), limit(2)), qt.IsTrue, qt.Commentf("a lower one applies at once"))
	c.Assert(k.Observe(at(119), at(130), RateLimit{}), qt.IsFalse)
	c.Assert(k.Observe(at(121), at(130), limit(40)), qt.IsTrue)
	c.Assert(k.Observe(at(131), at(140), RateLimit{}), qt.IsTrue)
	c.Assert(k.Limit(), qt.Equals, RateLimit{})
}

func TestAdoptedLimitHoldsUntilTheServerAnswers(t *testing.T) {
	c := qt.New(t)
	var k Tracker
	c.Assert(k.Adopt(at(0), limit(15)), qt.IsTrue)
	c.Assert(k.Adopt(at(1), limit(20)), qt.IsFalse)
	c.Assert(k.Adopt(at(2), limit(8)), qt.IsTrue)
	c.Assert(k.Observe(at(1), at(5), RateLimit{}), qt.IsFalse, qt.Commentf("sent before"))
	c.Assert(k.Limit(), qt.Equals, limit(8))
	c.Assert(k.Adopt(at(6), limit(1)), qt.IsFalse, qt.Commentf("the server has answered"))
	c.Assert(k.Observe(at(7), at(9), RateLimit{}), qt.IsTrue)
}

// Whatever the order of answers, the limit is never above the one that the newest sent request was answered with, once an
// answer to a request sent after all others has arrived.
func TestNewestAnswerDecidesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var k Tracker
		now := 0
		for range rapid.IntRange(0, 20).Draw(r, "answers") {
			now += rapid.IntRange(0, 50).Draw(r, "ms")
			sent := max(now-rapid.IntRange(0, 200).Draw(r, "took"), 0)
			k.Observe(at(sent), at(now), drawLimit(r))
		}
		last := drawLimit(r)
		k.Observe(at(now+1), at(now+2), last)
		if k.Limit() != last {
			r.Fatalf("%v, the newest answer says %v", k.Limit(), last)
		}
	})
}

func drawLimit(r *rapid.T) RateLimit {
	if rapid.Bool().Draw(r, "none") {
		return RateLimit{}
	}
	return limit(rapid.Float64Range(0, 100).Draw(r, "limit"))
}
