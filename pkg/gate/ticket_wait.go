package gate

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// The waits of tickets.
const (
	// rootWaitLeast is the longest wait of a root request where the holding time isn't known.
	rootWaitLeast = 60 * time.Millisecond
	// rootWaitHolds is the longest wait of a root request in holding times: longer queues only add delay.
	rootWaitHolds = 1.5
	// innerWaitLeast and innerWaitHolds are the same for calls of running requests, which lose more: with
	// longer waits at each of several calls the whole request is late.
	innerWaitLeast = 100 * time.Millisecond
	innerWaitHolds = 4
)

// wait is the time after which a ticket at the place would start.
func (g *Gate) wait(place int) time.Duration {
	return time.Duration(float64(place+1) * float64(g.hold) / max(g.limit, 1))
}

// holds is how long the ticket's request is taken to hold a slot: by its kind, since one server may run kinds of which
// one takes many times as long as another.
func (g *Gate) holds(t *Ticket) time.Duration {
	if t.TypicalHold == 0 {
		return g.hold
	}
	return time.Duration(float64(t.TypicalHold) * g.pace)
}

// tooLate tells whether the ticket's request has no chance to end in time.
func (g *Gate) tooLate(t *Ticket, now time.Time) bool { return t.Deadline.Sub(now) <= g.holds(t)/2 }

// longestWait is how long the ticket may wait: a root for a short time, a call longer, and neither so long
// that it couldn't end in time.
func (g *Gate) longestWait(t *Ticket, left time.Duration) time.Duration {
	least, holds := rootWaitLeast, rootWaitHolds
	if t.Internal {
		least, holds = innerWaitLeast, innerWaitHolds
	}
	return min(left-g.holds(t), max(least, time.Duration(holds*float64(g.hold))))
}

// evict refuses the last ones, whose wait has become too long by those that went before them.
func (g *Gate) evict(now time.Time) {
	for n := len(g.queue); n > 1; n = len(g.queue) {
		last := g.queue[n-1]
		waited := now.Sub(last.arrived)
		if g.wait(n-1)+waited <= 2*g.longestWait(last, last.Deadline.Sub(last.arrived)) {
			return
		}
		g.queue = g.queue[:n-1]
		last.queued = false
		last.Notify(Decision{Reason: wire.ReasonQueue})
	}
}

// Expire refuses queued tickets that can't end in time any more.
func (g *Gate) Expire(now time.Time) {
	kept := g.queue[:0]
	var late []*Ticket
	for _, t := range g.queue {
		if g.tooLate(t, now) {
			late = append(late, t)
		} else {
			kept = append(kept, t)
		}
	}
	g.queue = kept
	for _, t := range late {
		t.queued = false
		t.Notify(Decision{Reason: wire.ReasonDeadline})
	}
}
