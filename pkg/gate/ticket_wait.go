package gate

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Limits of the time in the queue.
const (
	// minRootWaitLimit is the limit of a root request's wait while the slot hold time is unknown or short.
	minRootWaitLimit = 60 * time.Millisecond
	// rootWaitHoldTimes is the limit of a root request's wait in slot hold times: longer queues only add delay.
	rootWaitHoldTimes = 1.5
	// minInternalWaitLimit and internalWaitHoldTimes are the same for calls, whose rejection wastes more work: with longer
	// waits at each of several calls the whole request is late.
	minInternalWaitLimit  = 100 * time.Millisecond
	internalWaitHoldTimes = 4
)

// expectedWait returns the time after which a ticket at an index of the queue, counted from 0, would start.
func (g *Gate) expectedWait(now time.Time, index int) time.Duration {
	return max(g.slotWait(now, index), g.rate.wait(now, index+1))
}

// slotWait returns the time after which a ticket at an index of the queue would get a slot.
func (g *Gate) slotWait(now time.Time, index int) time.Duration {
	if g.hasFreeSlot(now) {
		return 0 // the queue waits for the rate limit
	}
	return time.Duration(float64(index+1) * float64(g.holdTime) / max(g.limit, 1))
}

// expectedHold returns the expected slot hold time of the ticket's request: by its kind, since one server may run kinds of
// which one takes many times as long as another.
func (g *Gate) expectedHold(t *Ticket) time.Duration {
	if t.TypicalHold == 0 {
		return g.holdTime
	}
	return time.Duration(float64(t.TypicalHold) * g.slowdown)
}

// tooLate reports whether the ticket's request can't end in time.
func (g *Gate) tooLate(t *Ticket, now time.Time) bool {
	return t.Deadline.Sub(now) <= g.expectedHold(t)/2
}

// mayProbe reports whether a ticket may start although the server seems too slow for its request, which would end in time at a usual one.
// While nothing runs, only such a run can show that the server is fast again.
func (g *Gate) mayProbe(t *Ticket, left time.Duration) bool {
	return g.running == 0 && t.TypicalHold > 0 && left > t.TypicalHold/2
}

// maxWait returns how long the ticket may wait: a root for a short time, a call longer, and neither so long that it
// couldn't end in time.
func (g *Gate) maxWait(t *Ticket, left time.Duration) time.Duration {
	minimum, holdTimes := minRootWaitLimit, rootWaitHoldTimes
	if t.Internal {
		minimum, holdTimes = minInternalWaitLimit, internalWaitHoldTimes
	}
	return min(left-g.expectedHold(t), max(minimum, time.Duration(holdTimes*float64(g.holdTime)), g.rate.maxWait()))
}

// evictLast rejects tickets at the end of the queue whose wait has become too long because others went before them.
func (g *Gate) evictLast(now time.Time) {
	for n := len(g.queue); n > 1; n = len(g.queue) {
		last := g.queue[n-1]
		waited := now.Sub(last.arrived)
		if g.expectedWait(now, n-1)+waited <= 2*g.maxWait(last, last.Deadline.Sub(last.arrived)) {
			return
		}
		g.queue = g.queue[:n-1]
		last.queued = false
		last.Notify(g.rejection(now, n-1))
	}
}

// Expire rejects queued tickets that can't end in time any more.
func (g *Gate) Expire(now time.Time) {
	remaining := g.queue[:0]
	var late []*Ticket
	for _, t := range g.queue {
		if g.tooLate(t, now) {
			late = append(late, t)
		} else {
			remaining = append(remaining, t)
		}
	}
	g.queue = remaining
	for _, t := range late {
		t.queued = false
		t.Notify(Decision{Reason: wire.ReasonDeadline})
	}
}
