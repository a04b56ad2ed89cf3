package gate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Of a server that was four times slower than others, and answered within the time left all the same.
const (
	spellTypical  = 500 * time.Millisecond
	spellSlowdown = 4
	spellRuns     = 200
)

// gateAfterSlowSpell returns the gate of such a server.
func gateAfterSlowSpell() *Gate {
	g := openGate(10, spellTypical)
	for range spellRuns {
		g.Submit(begin, spellTicket(begin, 3*time.Second))
		g.Finish(begin, spellSlowdown*spellTypical, spellTypical, Answered)
	}
	return g
}

func spellTicket(now time.Time, left time.Duration) *Ticket {
	return &Ticket{Internal: true, Deadline: now.Add(left), TypicalHold: spellTypical, Notify: func(Decision) {}}
}

// callsDuring sends a call every 50 ms for a minute, each with 0.9 s left, and returns how many there were and how many were rejected.
func callsDuring(g *Gate, held time.Duration, o Outcome) (calls, rejected int) {
	var ends []time.Time
	for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
		for len(ends) > 0 && !ends[0].After(now) {
			g.Finish(now, held, spellTypical, o)
			ends = ends[1:]
		}
		calls++
		d := g.Submit(now, spellTicket(now, 900*time.Millisecond))
		if d.Start {
			ends = append(ends, now.Add(held))
		} else if !d.Queued {
			rejected++
		}
	}
	return calls, rejected
}

// TestGateOfAServerThatWasSlowServesAgain guards against a slowdown that keeps out the very calls that would lower it.
func TestGateOfAServerThatWasSlowServesAgain(t *testing.T) {
	calls, rejected := callsDuring(gateAfterSlowSpell(), spellTypical, Answered)
	t.Logf("%d of %d calls rejected", rejected, calls)
	qt.Assert(t, rejected < calls/10, qt.IsTrue, qt.Commentf("%d of %d calls rejected", rejected, calls))
}

// TestGateOfAServerThatStaysSlowLetsInOneCallAtATime guards against many calls at a server that can't answer them in time.
func TestGateOfAServerThatStaysSlowLetsInOneCallAtATime(t *testing.T) {
	const left = 900 * time.Millisecond
	calls, rejected := callsDuring(gateAfterSlowSpell(), left, Failed)
	t.Logf("%d of %d calls rejected", rejected, calls)
	qt.Assert(t, calls-rejected <= int(time.Minute/left)+1, qt.IsTrue, qt.Commentf("%d of %d calls rejected", rejected, calls))
}
