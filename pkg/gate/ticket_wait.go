package gate

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/budget"
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
	// minReserveWait is the least limit of the wait of a call with a reserve: waits of a few milliseconds even out arrivals.
	minReserveWait = 10 * time.Millisecond
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

// latestEnd returns when the ticket's request has to end so that the request it belongs to can end in time.
func (t *Ticket) latestEnd() time.Time { return t.Deadline.Add(-t.Reserve.Time) }

// tooLate reports whether the ticket's request can't end in time, and whether that is only for its reserve.
func (g *Gate) tooLate(t *Ticket, now time.Time) (late, forReserve bool) {
	least := g.expectedHold(t) / 2
	if t.Deadline.Sub(now) <= least {
		return true, false
	}
	if t.Reserve.Time <= 0 || t.latestEnd().Sub(now) > least {
		return false, false
	}
	refused := g.refuseForReserve(t, now)
	return refused, refused
}

// refuseForReserve reports whether the ticket may be refused for its reserve alone; otherwise it has no reserve any more.
func (g *Gate) refuseForReserve(t *Ticket, now time.Time) bool {
	if g.refusals.TakeRefusal(now, t.Route) {
		return true
	}
	t.Reserve = budget.Reserve{}
	return false
}

// mayProbe reports whether a ticket may start although the server seems too slow for its request, which would end in time at a usual one.
// While nothing runs, only such a run can show that the server is fast again.
func (g *Gate) mayProbe(t *Ticket, now time.Time) bool {
	return g.running == 0 && t.TypicalHold > 0 && t.latestEnd().Sub(now) > t.TypicalHold/2
}

// maxWait returns how long a ticket with that time left may wait: a root for a short time, a call longer, and neither so long
// that it couldn't end in time.
func (g *Gate) maxWait(t *Ticket, left time.Duration) time.Duration {
	minimum, holdTimes := minRootWaitLimit, rootWaitHoldTimes
	if t.Internal {
		minimum, holdTimes = minInternalWaitLimit, internalWaitHoldTimes
	}
	return min(left-g.expectedHold(t), max(minimum, time.Duration(holdTimes*float64(g.holdTime)), g.rate.maxWait()))
}

// maxReserveWait returns how long a call with a reserve may wait: its part of the slack, which all calls of its request share
// that are still to come.
func (g *Gate) maxReserveWait(t *Ticket, now time.Time) time.Duration {
	gates := 1 + t.CallsBelow + max(t.Reserve.Calls, 1)
	slack := t.latestEnd().Sub(now) - g.expectedHold(t)
	return max(time.Duration(float64(slack)/gates), minReserveWait)
}

// waitsTooLong reports whether a wait since the ticket's arrival is longer than tolerance times what the ticket may wait, and
// whether that is only for its reserve.
func (g *Gate) waitsTooLong(t *Ticket, now time.Time, wait, tolerance time.Duration) (tooLong, forReserve bool) {
	if wait > tolerance*g.maxWait(t, t.Deadline.Sub(t.arrived)) {
		return true, false
	}
	if t.Reserve.Time <= 0 || wait <= tolerance*g.maxReserveWait(t, t.arrived) {
		return false, false
	}
	refused := g.refuseForReserve(t, now)
	return refused, refused
}

// evictionTolerance is how much longer than expected at its arrival a ticket may wait because others go before it.
const evictionTolerance = 2

// evictLast rejects tickets at the end of the queue whose wait has become too long because others went before them.
func (g *Gate) evictLast(now time.Time) {
	for n := len(g.queue); n > 1; n = len(g.queue) {
		last := g.queue[n-1]
		waited := now.Sub(last.arrived)
		tooLong, forReserve := g.waitsTooLong(last, now, g.expectedWait(now, n-1)+waited, evictionTolerance)
		if !tooLong {
			return
		}
		g.queue = g.queue[:n-1]
		last.queued = false
		d := g.rejection(now, n-1)
		d.ForReserve = forReserve
		last.Notify(d)
	}
}

// Expire rejects queued tickets that can't end in time any more.
func (g *Gate) Expire(now time.Time) {
	g.latest = now
	remaining := g.queue[:0]
	var late []lateTicket
	for _, t := range g.queue {
		if isLate, forReserve := g.tooLate(t, now); isLate {
			late = append(late, lateTicket{t, forReserve})
		} else {
			remaining = append(remaining, t)
		}
	}
	g.queue = remaining
	for _, t := range late {
		t.queued = false
		t.Notify(Decision{Reason: wire.ReasonDeadline, ForReserve: t.forReserve})
	}
}

// lateTicket is a ticket that can't end in time any more.
type lateTicket struct {
	*Ticket
	forReserve bool
}
