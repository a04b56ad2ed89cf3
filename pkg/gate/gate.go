package gate

import (
	"cmp"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Verdict is what the Gate decides about a ticket.
type Verdict struct {
	Start  bool
	Queued bool        // Notify tells how it ends
	Reason wire.Reason // why it was refused
}

// Ticket is a request that wants to start.
type Ticket struct {
	Inner    bool // a call of a request in progress
	Priority int  // 0 is the most urgent
	Deadline time.Time
	Notify   func(Verdict) // called once if the ticket was queued

	arrived time.Time
	order   int64
	queued  bool
}

// The gate's constants.
const (
	// limitShare of the slots are used: servers slow down when they are nearly full.
	limitShare = 0.92
	// holdGain is the weight of one request in the smoothed time for which a slot is held.
	holdGain = 0.05
	// rootWaitLeast is the longest wait of a root request where the holding time isn't known.
	rootWaitLeast = 60 * time.Millisecond
	// rootWaitHolds is the longest wait of a root request in holding times: longer queues only add delay.
	rootWaitHolds = 1.5
	// innerWaitLeast and innerWaitHolds are the same for calls of running requests, which lose more: with
	// longer waits at each of several calls the whole request is late.
	innerWaitLeast = 100 * time.Millisecond
	innerWaitHolds = 4
	// successGain is the weight of one answer in the smoothed share of good answers.
	successGain = 0.05
)

// Reading is a Gate's state.
type Reading struct {
	Limit   float64       `json:"limit"`
	Running int           `json:"running"`
	Queued  int           `json:"queued"`
	Hold    time.Duration `json:"hold_ns"`
	Success float64       `json:"success"` // share of good answers among those of requests that ran
	Shed    float64       `json:"shed"`    // share of requests that the server itself refused
}

// Gate decides for one backend server; it isn't safe for concurrent use.
type Gate struct {
	slots   int
	limit   float64
	running int
	queue   []*Ticket // the next to start is first
	order   int64
	hold    time.Duration
	success float64
	shed    float64
	open    bool
}

// Open sets the server's slots and lets requests in; a server that was replaced starts afresh.
func (g *Gate) Open(slots int, fresh bool) {
	slots = max(slots, 1)
	if slots != g.slots || fresh {
		g.slots = slots
		g.limit = float64(slots) * limitShare
		g.success, g.shed = 1, 0
	}
	g.open = true
}

// Close refuses what waits and what comes; what runs goes on.
func (g *Gate) Close() {
	g.open = false
	waiting := g.queue
	g.queue = nil
	for _, t := range waiting {
		t.queued = false
		t.Notify(Verdict{Reason: wire.ReasonLeaving})
	}
}

// Arrive decides about a new ticket.
func (g *Gate) Arrive(now time.Time, t *Ticket) Verdict {
	if !g.open {
		return Verdict{Reason: wire.ReasonLeaving}
	}
	left := t.Deadline.Sub(now)
	if left <= g.hold/2 {
		return Verdict{Reason: wire.ReasonDeadline}
	}
	t.arrived = now
	g.order++
	t.order = g.order
	if len(g.queue) == 0 && g.room() {
		g.running++
		return Verdict{Start: true}
	}
	place, _ := slices.BinarySearchFunc(g.queue, t, compare)
	if g.wait(place) > g.longestWait(t, left) {
		return Verdict{Reason: wire.ReasonQueue}
	}
	g.queue = slices.Insert(g.queue, place, t)
	t.queued = true
	g.evict(now)
	return Verdict{Queued: true}
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
		last.Notify(Verdict{Reason: wire.ReasonQueue})
	}
}

// compare orders tickets by when they are due.
func compare(a, b *Ticket) int {
	return cmp.Or(a.due().Compare(b.due()), cmp.Compare(a.order, b.order))
}

// The lead and the lag in the order of tickets. A root was admitted for this server, so it isn't left behind
// for as long as calls, or more urgent roots, keep coming.
const (
	// innerLead is how much earlier a call of a running request counts as come: the work above it waits.
	innerLead = 40 * time.Millisecond
	// priorityLag is how much later a root counts as come for each step of urgency that it lacks.
	priorityLag = 20 * time.Millisecond
)

// due is the time as of which a ticket counts as come.
func (t *Ticket) due() time.Time {
	if t.Inner {
		return t.arrived.Add(-innerLead)
	}
	return t.arrived.Add(time.Duration(t.Priority) * priorityLag)
}

// wait is the time after which a ticket at the place would start.
func (g *Gate) wait(place int) time.Duration {
	return time.Duration(float64(place+1) * float64(g.hold) / max(g.limit, 1))
}

// longestWait is how long the ticket may wait: a root for a short time, a call longer, and neither so long
// that it couldn't end in time.
func (g *Gate) longestWait(t *Ticket, left time.Duration) time.Duration {
	least, holds := rootWaitLeast, rootWaitHolds
	if t.Inner {
		least, holds = innerWaitLeast, innerWaitHolds
	}
	return min(left-g.hold, max(least, time.Duration(holds*float64(g.hold))))
}

func (g *Gate) room() bool { return float64(g.running) < max(g.limit, 1) }

// Outcome is how a started request ended at the server.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota + 1 // with an answer of its work
	Failed                      // with an error, or without a whole answer
	Shed                        // the server refused it
	Left                        // the caller gave up
)

// Done notes that a started request has ended after it held its slot.
func (g *Gate) Done(now time.Time, held time.Duration, o Outcome) {
	g.running--
	if o != Left {
		g.shed -= successGain * g.shed
	}
	switch o {
	case Answered:
		g.observe(held)
		g.success += successGain * (1 - g.success)
	case Failed:
		g.success -= successGain * g.success
	case Shed:
		g.shed += successGain
		// The limit stays: a server that is never filled by us refuses for a fault of its own, whatever its load.
	case Left:
	}
	g.drain(now)
}

func (g *Gate) observe(held time.Duration) {
	if g.hold == 0 {
		g.hold = held
	}
	g.hold += time.Duration(holdGain * float64(held-g.hold))
}

// drain starts queued tickets while there is room.
func (g *Gate) drain(now time.Time) {
	for len(g.queue) > 0 && g.room() {
		t := g.queue[0]
		g.queue = g.queue[1:]
		t.queued = false
		if t.Deadline.Sub(now) <= g.hold/2 {
			t.Notify(Verdict{Reason: wire.ReasonDeadline})
			continue
		}
		g.running++
		t.Notify(Verdict{Start: true})
	}
}

// Expire refuses queued tickets that can't end in time any more.
func (g *Gate) Expire(now time.Time) {
	kept := g.queue[:0]
	var late []*Ticket
	for _, t := range g.queue {
		if t.Deadline.Sub(now) <= g.hold/2 {
			late = append(late, t)
		} else {
			kept = append(kept, t)
		}
	}
	g.queue = kept
	for _, t := range late {
		t.queued = false
		t.Notify(Verdict{Reason: wire.ReasonDeadline})
	}
}

// Cancel withdraws a queued ticket; it reports false if the ticket isn't queued any more.
func (g *Gate) Cancel(t *Ticket) bool {
	if !t.queued {
		return false
	}
	i := slices.Index(g.queue, t)
	g.queue = slices.Delete(g.queue, i, i+1)
	t.queued = false
	return true
}

// Read returns the Gate's state.
func (g *Gate) Read() Reading {
	return Reading{Limit: g.limit, Running: g.running, Queued: len(g.queue), Hold: g.hold, Success: g.success, Shed: g.shed}
}
