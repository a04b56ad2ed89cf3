package gate

import (
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/budget"
	"github.com/rockspoke/rockspoke/pkg/pace"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Decision is the Gate's decision about a ticket: started, queued or rejected.
type Decision struct {
	Start  bool
	Queued bool        // Notify receives the final decision
	Reason wire.Reason // why it was rejected
	// RetryAfter is the time until the server's rate limit allows the request, if it was rejected for that.
	RetryAfter time.Duration
	// ForReserve reports that it was rejected only for its reserve: with all the time until its deadline it would have been accepted.
	ForReserve bool
}

// Ticket is a request that wants to start.
type Ticket struct {
	Internal    bool // a call of a request in progress
	Priority    int  // 0 is the most urgent
	Deadline    time.Time
	Age         time.Duration  // of a call: lower bound of the time since its root's work began
	TypicalHold time.Duration  // slot hold time of its kind over all servers; 0 if unknown
	CallShare   float64        // share of TypicalHold that its kind waits for its own calls; 0 if unknown
	Route       string         // of a call; reserves are limited by route
	Reserve     budget.Reserve // of a call: what its request still needs after it
	CallsBelow  float64        // calls that the ticket's own run makes, with those below them
	Notify      func(Decision) // called once if the ticket was queued

	arrived time.Time
	seq     int64
	fifo    bool          // counts as arrived when it did, without lead or lag
	lag     time.Duration // for each priority step below the most urgent
	queued  bool
}

// State is a snapshot of a Gate.
type State struct {
	Limit        float64       `json:"limit"`
	Running      int           `json:"running"`
	Queued       int           `json:"queued"`
	HoldTime     time.Duration `json:"hold_ns"`
	Slowdown     float64       `json:"pace"` // slot hold time as a multiple of what the requests' kinds take over all servers, now
	MeanSlowdown float64       `json:"-"`    // the same, averaged over recent runs
	// ToldPace is the pace of the server now by what it told last, 0 if it has told none; PaceFactor is its factor on runs like the
	// recent ones, and MeanFactor what that factor was in them.
	ToldPace     float64 `json:"told_pace,omitempty"`
	PaceFactor   float64 `json:"-"`
	MeanFactor   float64 `json:"-"`
	SuccessShare float64 `json:"success"` // share of successful answers among requests that ran
	ShedShare    float64 `json:"shed"`    // share of requests that the server itself refused
}

// limitFraction is the fraction of the slots that is used: servers slow down when they are nearly full.
const limitFraction = 0.92

// Gate decides for one backend server; it isn't safe for concurrent use.
type Gate struct {
	// FIFO keeps the queue in the order of arrival, without a lead for calls or a lag for less urgent roots.
	FIFO bool

	slots        int
	limit        float64
	running      int
	queue        []*Ticket // the next to start is first
	rate         rateBucket
	held         heldSlots
	seq          int64
	holdTime     time.Duration
	slowdown     float64
	told         pace.Told
	speed        pace.Speed
	latest       time.Time // newest time that the Gate was given; the told pace ages by it
	successShare float64
	shedShare    float64
	open         bool
	refusals     budget.RefusalLimit
}

// Open sets the server's slots and admits requests; a fresh server, which has replaced another, starts with new statistics.
func (g *Gate) Open(slots int, fresh bool) {
	slots = max(slots, 1)
	if slots != g.slots || fresh {
		g.slots = slots
		g.limit = float64(slots) * limitFraction
		g.slowdown, g.successShare, g.shedShare = 1, 1, 0
		g.held = heldSlots{}
		g.told, g.speed = pace.Told{}, pace.Speed{}
	}
	g.open = true
}

// Close rejects queued and new tickets; running requests continue.
func (g *Gate) Close() {
	g.open = false
	waiting := g.queue
	g.queue = nil
	for _, t := range waiting {
		t.queued = false
		t.Notify(Decision{Reason: wire.ReasonLeaving})
	}
}

// Submit starts, queues or rejects a new ticket.
func (g *Gate) Submit(now time.Time, t *Ticket) Decision {
	if !g.open {
		return Decision{Reason: wire.ReasonLeaving}
	}
	g.latest = now
	if t.Internal {
		g.refusals.Arrive(now, t.Route)
	}
	if !g.mayProbe(t, now) {
		if late, forReserve := g.tooLate(t, now); late {
			return Decision{Reason: wire.ReasonDeadline, ForReserve: forReserve}
		}
	}
	t.arrived, t.fifo = now, g.FIFO
	t.lag = max(lagPerPriority, g.rate.maxWait()) // a token is worth waiting longer for than a slot, so less urgent roots wait behind
	g.seq++
	t.seq = g.seq
	if len(g.queue) == 0 && g.hasFreeSlot(now) && g.rate.take(now) {
		g.running++
		return Decision{Start: true}
	}
	index, _ := slices.BinarySearchFunc(g.queue, t, compareTickets)
	if tooLong, forReserve := g.waitsTooLong(t, now, g.expectedWait(now, index), 1); tooLong {
		d := g.rejection(now, index)
		d.ForReserve = forReserve
		return d
	}
	g.queue = slices.Insert(g.queue, index, t)
	t.queued = true
	g.evictLast(now)
	return Decision{Queued: true}
}

// StartQueued starts queued tickets while there are free slots and the rate limit allows it.
func (g *Gate) StartQueued(now time.Time) {
	g.latest = now
	for len(g.queue) > 0 && g.hasFreeSlot(now) {
		t := g.queue[0]
		late, forReserve := g.tooLate(t, now)
		if !late && !g.rate.take(now) {
			return
		}
		g.queue = g.queue[1:]
		t.queued = false
		if late {
			t.Notify(Decision{Reason: wire.ReasonDeadline, ForReserve: forReserve})
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
	s := State{
		Limit: g.limit, Running: g.running, Queued: len(g.queue), HoldTime: g.holdTime, Slowdown: g.slowdown, MeanSlowdown: g.slowdown,
		MeanFactor: g.speed.MeanFactor(), SuccessShare: g.successShare, ShedShare: g.shedShare,
	}
	if g.told.Known() {
		s.ToldPace = g.told.At(g.latest)
		s.Slowdown, s.PaceFactor = g.speed.Slowdown()*s.ToldPace, g.speed.Factor(s.ToldPace)
	}
	return s
}
