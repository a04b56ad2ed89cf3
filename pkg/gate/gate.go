package gate

import (
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Decision is what the Gate decides about a ticket.
type Decision struct {
	Start  bool
	Queued bool        // Notify tells how it ends
	Reason wire.Reason // why it was refused
}

// Ticket is a request that wants to start.
type Ticket struct {
	Internal    bool // a call of a request in progress
	Priority    int  // 0 is the most urgent
	Deadline    time.Time
	Age         time.Duration  // of a call: how long before it the work began that it belongs to, at least
	TypicalHold time.Duration  // for which requests of its kind hold a slot at any server; 0: not known
	Notify      func(Decision) // called once if the ticket was queued

	arrived time.Time
	order   int64
	plain   bool // due when it arrived
	queued  bool
}

// State is a Gate's state.
type State struct {
	Limit        float64       `json:"limit"`
	Running      int           `json:"running"`
	Queued       int           `json:"queued"`
	HoldTime     time.Duration `json:"hold_ns"`
	Slowdown     float64       `json:"pace"`    // time that requests hold a slot, as a multiple of what their kinds do at any server
	SuccessShare float64       `json:"success"` // share of good answers among those of requests that ran
	ShedShare    float64       `json:"shed"`    // share of requests that the server itself refused
}

// limitShare of the slots are used: servers slow down when they are nearly full.
const limitShare = 0.92

// Gate decides for one backend server; it isn't safe for concurrent use.
type Gate struct {
	// FIFO tells that the queue is in the order of arrival, without a lead of calls or of urgent roots.
	FIFO bool

	slots   int
	limit   float64
	running int
	queue   []*Ticket // the next to start is first
	order   int64
	hold    time.Duration
	pace    float64
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
		g.pace, g.success, g.shed = 1, 1, 0
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
		t.Notify(Decision{Reason: wire.ReasonLeaving})
	}
}

// Submit decides about a new ticket.
func (g *Gate) Submit(now time.Time, t *Ticket) Decision {
	if !g.open {
		return Decision{Reason: wire.ReasonLeaving}
	}
	left := t.Deadline.Sub(now)
	if g.tooLate(t, now) {
		return Decision{Reason: wire.ReasonDeadline}
	}
	t.arrived, t.plain = now, g.FIFO
	g.order++
	t.order = g.order
	if len(g.queue) == 0 && g.room() {
		g.running++
		return Decision{Start: true}
	}
	place, _ := slices.BinarySearchFunc(g.queue, t, compare)
	if g.wait(place) > g.longestWait(t, left) {
		return Decision{Reason: wire.ReasonQueue}
	}
	g.queue = slices.Insert(g.queue, place, t)
	t.queued = true
	g.evict(now)
	return Decision{Queued: true}
}

func (g *Gate) room() bool { return float64(g.running) < max(g.limit, 1) }

// drain starts queued tickets while there is room.
func (g *Gate) drain(now time.Time) {
	for len(g.queue) > 0 && g.room() {
		t := g.queue[0]
		g.queue = g.queue[1:]
		t.queued = false
		if g.tooLate(t, now) {
			t.Notify(Decision{Reason: wire.ReasonDeadline})
			continue
		}
		g.running++
		t.Notify(Decision{Start: true})
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

// Snapshot returns the Gate's state.
func (g *Gate) Snapshot() State {
	return State{Limit: g.limit, Running: g.running, Queued: len(g.queue), HoldTime: g.hold, Slowdown: g.pace, SuccessShare: g.success, ShedShare: g.shed}
}
