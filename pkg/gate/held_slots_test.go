package gate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A server went on with requests whose callers had left, or that were sent before its node was restarted, and got as many more: it dropped
// what it couldn't queue without an answer.
func TestHeldSlotsAreNotGivenAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	g := &Gate{}
	g.Open(100, true)
	start := func() int {
		n := 0
		for g.Submit(now, &Ticket{Deadline: now.Add(time.Second), Notify: func(Decision) {}}).Start {
			n++
		}
		g.queue = nil
		return n
	}
	c.Assert(start(), qt.Equals, 92)
	for range 62 {
		g.Finish(now, 0, 0, Abandoned)
	}
	for range 4 { // the server still has 20 of them
		g.NoteServerLoad(now, 50, 100)
		now = now.Add(heldWindow / 2)
	}
	c.Check(start(), qt.Equals, 42)
	c.Check(g.NoteServerLoad(now, 72, 100), qt.Equals, 0, qt.Commentf("one answer shows that the slots are free"))
	c.Check(start(), qt.Equals, 20)
}

// A run whose caller left before its usual time holds its slot until then, or until an answer shows that it doesn't; of a server that doesn't
// name its load nothing is known.
func TestRunsThatWereLeftHoldTheirSlotsForTheirUsualTime(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	g := &Gate{}
	g.Open(10, true)
	leave := func(n int, held time.Duration) {
		g.running += n
		for range n {
			g.Finish(now, held, 100*time.Millisecond, Abandoned)
		}
	}
	leave(3, 0)
	c.Check(g.HeldSlots(now), qt.Equals, 0)
	g.NoteServerLoad(now, 0, 10)
	leave(3, 20*time.Millisecond)
	leave(2, 200*time.Millisecond)
	c.Check(g.HeldSlots(now), qt.Equals, 3)
	c.Check(g.HeldSlots(now.Add(80*time.Millisecond)), qt.Equals, 0)
	leave(3, 20*time.Millisecond)
	c.Check(g.NoteServerLoad(now, 1, 10), qt.Equals, 1, qt.Commentf("the server had ended two"))
}

// Answers that are read out of order name too many requests for a moment, and an old answer or a wrong one must not stop a server.
func TestHeldSlotsNeedLastingEvidence(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	g := &Gate{}
	g.Open(100, true)
	for i, n := range []int{9, 9, 0, 1000, 1000} {
		at := now.Add(time.Duration(i) * heldWindow / 2)
		c.Check(g.NoteServerLoad(at, n, 100), qt.Equals, 0)
		c.Check(g.NoteServerLoad(at, 50, 8), qt.Equals, 0, qt.Commentf("of other slots"))
	}
	now = now.Add(4 * heldWindow)
	c.Check(g.NoteServerLoad(now, 1000, 100), qt.Equals, 1000)
	c.Check(g.hasFreeSlot(now), qt.IsTrue, qt.Commentf("a run shows whether they are free"))
	g.running = 1
	c.Check(g.hasFreeSlot(now), qt.IsFalse)
	c.Check(g.hasFreeSlot(now.Add(heldExpiry+1)), qt.IsTrue)
}
