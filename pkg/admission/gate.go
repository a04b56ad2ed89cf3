package admission

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Decision is what the Gate decides about a ticket.
type Decision struct {
	Start  bool        // the call may start now
	Queued bool        // the call waits; Notify tells how it ends
	Reason wire.Reason // why it was refused
}

// Defaults of Settings.
const (
	DefaultTargetDelay   = 5 * time.Millisecond
	DefaultMaxSojourn    = 60 * time.Millisecond
	DefaultLevelInterval = 50 * time.Millisecond
)

// headroomShare is the share of the limit that each tier leaves free for the tiers above it.
const headroomShare = 0.02

// Settings fixes a Gate's bounds; zero durations take the defaults.
type Settings struct {
	Slots         int           // calls that the backend server can run at once
	MinLimit      int           // least limit; 0 means a tenth of the slots
	MaxQueued     int           // most queued calls; 0 means as many as slots
	TargetDelay   time.Duration // queue delay above which the server counts as overloaded
	MaxSojourn    time.Duration // longest wait in the queue
	LevelInterval time.Duration // time between level changes
	RampTime      time.Duration // cold start: the time in which the limit grows to the slots
}

// Snapshot is a Gate's state for dumps and answers.
type Snapshot struct {
	Limit   int               `json:"limit"`
	Running int               `json:"running"`
	Queued  int               `json:"queued"`
	Level   priority.Priority `json:"level"`
	OwnTime time.Duration     `json:"own_time_ns"`
}

// Gate decides for one backend server; it isn't safe for concurrent use.
type Gate struct {
	cfg     Settings
	limit   limit
	level   level
	queue   ticketQueue
	running int
	// floorSet says that the floor was given, rather than taken from the slots.
	floorSet bool

	raiseStart  time.Time
	lowerStart  time.Time
	raised      time.Time // when the level last rose
	refused     int
	useSum      float64 // calls running, added up over ticks since lowerStart
	useN        int
	minSojourn  time.Duration
	sojournSeen bool
	hold        time.Duration // smoothed time for which a call holds a slot
}

// NewGate returns a Gate with the given settings that starts cold at now.
func NewGate(cfg Settings, now time.Time) *Gate {
	cfg.Slots = max(cfg.Slots, 1)
	floorSet := cfg.MinLimit > 0
	if cfg.MinLimit == 0 {
		cfg.MinLimit = max(cfg.Slots/10, 1)
	}
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = cfg.Slots
	}
	cfg.TargetDelay = cmp.Or(cfg.TargetDelay, DefaultTargetDelay)
	cfg.MaxSojourn = cmp.Or(cfg.MaxSojourn, DefaultMaxSojourn)
	cfg.LevelInterval = cmp.Or(cfg.LevelInterval, DefaultLevelInterval)
	return &Gate{
		cfg:        cfg,
		limit:      newLimit(cfg.Slots, cfg.MinLimit, cfg.RampTime, now),
		raiseStart: now,
		lowerStart: now,
		floorSet:   floorSet,
	}
}

// Arrive decides about a new call. A refused call never starts.
func (g *Gate) Arrive(now time.Time, t *Ticket) Decision {
	g.level.arrive(t.Priority)
	if t.Priority < g.level.value {
		return Decision{Reason: wire.ReasonBelowLevel}
	}
	if !now.Before(t.Deadline) {
		return Decision{Reason: wire.ReasonDeadline}
	}
	t.arrived = now
	if g.first(t) && g.fits(now, t.Priority) {
		g.start(now, t)
		return Decision{Start: true}
	}
	if len(g.queue) >= g.cfg.MaxQueued {
		low := g.queue.lowest()
		g.refused++
		if low.Priority >= t.Priority {
			return Decision{Reason: wire.ReasonQueue}
		}
		g.queue.remove(low)
		low.Notify(Decision{Reason: wire.ReasonQueue})
	}
	heap.Push(&g.queue, t)
	return Decision{Queued: true}
}

// first tells whether no queued call goes before t.
func (g *Gate) first(t *Ticket) bool {
	return len(g.queue) == 0 || t.Priority > g.queue[0].Priority
}

// fits tells whether a call of priority p may start beside those running.
func (g *Gate) fits(now time.Time, p priority.Priority) bool {
	n := g.limit.current(now)
	below := float64(priority.MaxTier - min(p.Tier(), priority.MaxTier))
	room := int(float64(n)*(1-below*headroomShare) + 0.5)
	return g.running < max(room, 1)
}

func (g *Gate) start(now time.Time, t *Ticket) {
	g.running++
	sojourn := now.Sub(t.arrived)
	if !g.sojournSeen || sojourn < g.minSojourn {
		g.minSojourn = sojourn
		g.sojournSeen = true
	}
}

// holdGain is the weight of one call in the smoothed time that calls hold a slot.
const holdGain = 0.15

// Done notes that a started call has ended. held is the time that it held its slot, and own that time less
// its waits for outbound calls; counted says whether they are fair samples of the server's speed.
func (g *Gate) Done(now time.Time, held, own time.Duration, counted bool) {
	if counted {
		g.limit.observe(own, g.running)
		if g.hold == 0 {
			g.hold = held
		}
		g.hold += time.Duration(holdGain * float64(held-g.hold))
	}
	g.running--
	g.level.done++
	g.drain(now)
}

// Cancel withdraws a queued ticket; it reports false when the ticket isn't queued any more.
func (g *Gate) Cancel(t *Ticket) bool {
	if !t.queued {
		return false
	}
	g.queue.remove(t)
	return true
}

// maxInterval bounds the time between such looks where calls hold their slots for long.
const maxInterval = 400 * time.Millisecond

// interval is the time between looks at whether the server is overloaded: as long as a call holds its slot, so that a queue that
// stands for so long is more than a burst.
func (g *Gate) interval() time.Duration {
	return max(g.cfg.LevelInterval, min(g.hold, maxInterval))
}

// maxSojourn is the longest wait in the queue: no shorter than the time in which the slots turn over once.
func (g *Gate) maxSojourn() time.Duration {
	return max(g.cfg.MaxSojourn, min(g.hold, maxInterval))
}

// Tick moves the limit and the level and refuses queued calls that have waited too long.
func (g *Gate) Tick(now time.Time) {
	g.expire(now)
	g.drain(now)
	g.limit.tick(now)
	g.useSum += float64(g.running)
	g.useN++
	if now.Sub(g.lowerStart) >= g.lowerInterval() {
		g.lowerStart = now
		g.level.pass(now, g.hold)
		g.lowerLevel(now)
	}
	if now.Sub(g.raiseStart) >= g.interval() {
		g.raiseStart = now
		g.raiseLevel(now)
	}
}

// lowerInterval is the time between falls of the level: long enough for callers to hear of one fall and
// for their calls to come in before the next.
func (g *Gate) lowerInterval() time.Duration {
	return max(2*g.cfg.LevelInterval, min(g.hold/4, maxInterval/2))
}

// raiseLevel looks whether a queue stood for the whole interval, or calls had to be refused.
func (g *Gate) raiseLevel(now time.Time) {
	standing := g.sojournSeen && g.minSojourn > g.cfg.TargetDelay
	if standing || g.refused > 0 {
		g.level.raiseFor(now, g.capacity(now))
		g.raised = now
		g.evictBelowLevel()
	}
	g.refused = 0
	g.sojournSeen = false
}

// evictBelowLevel refuses queued calls that wouldn't be taken in any more, so that none of them starts
// while a higher tier is refused.
func (g *Gate) evictBelowLevel() {
	for len(g.queue) > 0 {
		low := g.queue.lowest()
		if low.Priority >= g.level.value {
			return
		}
		g.queue.remove(low)
		low.Notify(Decision{Reason: wire.ReasonBelowLevel})
	}
}

// lowerLevel lets more in when nothing waits and slots are free, and no sooner than calls of the last
// raise could have come and gone.
func (g *Gate) lowerLevel(now time.Time) {
	use := g.useSum / float64(g.useN)
	g.useSum, g.useN = 0, 0
	if g.hold == 0 || len(g.queue) > 0 || now.Sub(g.raised) < g.interval() {
		return
	}
	room := g.capacity(now) * fill
	g.level.lower(now, room-use/g.hold.Seconds(), room)
}

// capacity returns the calls a second that the limit allows by the time that calls hold their slots.
func (g *Gate) capacity(now time.Time) float64 {
	if g.hold == 0 {
		return 0
	}
	return float64(g.limit.current(now)) / g.hold.Seconds()
}

// expire refuses queued calls past their deadline or the longest sojourn.
func (g *Gate) expire(now time.Time) {
	for i := 0; i < len(g.queue); {
		t := g.queue[i]
		late := !now.Before(t.Deadline)
		if !late && now.Sub(t.arrived) < g.maxSojourn() {
			i++
			continue
		}
		g.queue.remove(t)
		g.refused++
		reason := wire.ReasonQueue
		if late {
			reason = wire.ReasonDeadline
		}
		t.Notify(Decision{Reason: reason})
		i = 0
	}
}

// drain starts queued calls while they fit.
func (g *Gate) drain(now time.Time) {
	for len(g.queue) > 0 && g.fits(now, g.queue[0].Priority) {
		t := heap.Pop(&g.queue).(*Ticket)
		if !now.Before(t.Deadline) {
			t.Notify(Decision{Reason: wire.ReasonDeadline})
			continue
		}
		g.start(now, t)
		t.Notify(Decision{Start: true})
	}
}

// Level returns the priority below which calls are refused.
func (g *Gate) Level() priority.Priority { return g.level.value }

// Snapshot returns the Gate's state at now.
func (g *Gate) Snapshot(now time.Time) Snapshot {
	return Snapshot{
		Limit: g.limit.current(now), Running: g.running, Queued: len(g.queue),
		Level: g.level.value, OwnTime: g.limit.lastOwn,
	}
}

// SetSlots changes the number of calls that the backend server can run at once.
func (g *Gate) SetSlots(slots int) {
	slots = max(slots, 1)
	if slots == g.limit.slots {
		return
	}
	g.cfg.Slots = slots
	g.cfg.MaxQueued = slots
	g.limit.slots = slots
	if !g.floorSet {
		g.limit.floor = max(slots/10, 1)
	}
	g.limit.value = float64(slots)
}
