package admission

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Decision is the Gate's decision about a ticket.
type Decision struct {
	Start  bool        // the call may start now
	Queued bool        // the call waits; Notify gets the final decision
	Reason wire.Reason // why it was refused
}

// Defaults of the durations in Settings.
const (
	DefaultTargetDelay   = 5 * time.Millisecond
	DefaultMaxSojourn    = 60 * time.Millisecond
	DefaultLevelInterval = 50 * time.Millisecond
)

// headroomShare is the fraction of the limit that each tier leaves free for each tier above it.
const headroomShare = 0.02

// Settings configures a Gate; zero durations take the defaults, except that a zero RampTime means no ramp.
type Settings struct {
	Slots         int           // calls that the backend server can run concurrently
	MinLimit      int           // lowest concurrency limit; 0 means a tenth of the slots
	MaxQueued     int           // longest queue, in calls; 0 means as many as slots
	TargetDelay   time.Duration // queue delay above which the server counts as overloaded
	MaxSojourn    time.Duration // longest wait in the queue
	LevelInterval time.Duration // shortest time between raises of the level; the level falls at most every two of them
	RampTime      time.Duration // cold start: time in which the limit grows to the slots
}

// Snapshot is a Gate's state, for dumps and status reports.
type Snapshot struct {
	Limit   int               `json:"limit"`
	Running int               `json:"running"`
	Queued  int               `json:"queued"`
	Level   priority.Priority `json:"level"`
	OwnTime time.Duration     `json:"own_time_ns"`
}

// Gate controls admission to one backend server; it isn't safe for concurrent use.
type Gate struct {
	cfg     Settings
	limit   limit
	level   level
	queue   ticketQueue
	running int
	// minLimitSet says that MinLimit was configured rather than derived from the slots.
	minLimitSet bool

	raiseStart     time.Time
	lowerStart     time.Time
	lastRaise      time.Time // when the level was last raised
	queueRefusals  int
	runningSum     float64 // running calls, summed over the ticks since lowerStart
	runningSamples int
	minSojourn     time.Duration
	sojournSeen    bool
	slotHold       time.Duration // smoothed slot hold time of a call; 0 until the first sample
}

// NewGate returns a Gate with the given settings whose cold start ramp begins at now.
func NewGate(cfg Settings, now time.Time) *Gate {
	cfg.Slots = max(cfg.Slots, 1)
	minLimitSet := cfg.MinLimit > 0
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
		cfg:         cfg,
		limit:       newLimit(cfg.Slots, cfg.MinLimit, cfg.RampTime, now),
		raiseStart:  now,
		lowerStart:  now,
		minLimitSet: minLimitSet,
	}
}

// Arrive decides whether a new call starts, waits in the queue or is refused. A refused call never starts.
func (g *Gate) Arrive(now time.Time, t *Ticket) Decision {
	g.level.countArrival(t.Priority)
	if t.Priority < g.level.value {
		return Decision{Reason: wire.ReasonBelowLevel}
	}
	if !now.Before(t.Deadline) {
		return Decision{Reason: wire.ReasonDeadline}
	}
	t.arrived = now
	if g.precedesQueue(t) && g.canStart(now, t.Priority) {
		g.start(now, t)
		return Decision{Start: true}
	}
	if len(g.queue) >= g.cfg.MaxQueued {
		lowest := g.queue.lowest()
		g.queueRefusals++
		if lowest.Priority >= t.Priority {
			return Decision{Reason: wire.ReasonQueue}
		}
		g.queue.remove(lowest)
		lowest.Notify(Decision{Reason: wire.ReasonQueue})
	}
	heap.Push(&g.queue, t)
	return Decision{Queued: true}
}

// precedesQueue reports whether t has a higher priority than all queued calls.
func (g *Gate) precedesQueue(t *Ticket) bool {
	return len(g.queue) == 0 || t.Priority > g.queue[0].Priority
}

// canStart reports whether the limit and the headroom allow a call of priority p to start beside those running.
func (g *Gate) canStart(now time.Time, p priority.Priority) bool {
	n := g.limit.current(now)
	tiersAbove := float64(priority.MaxTier - min(p.Tier(), priority.MaxTier))
	usable := int(float64(n)*(1-tiersAbove*headroomShare) + 0.5)
	return g.running < max(usable, 1)
}

// start counts t as running and records its sojourn time in the queue.
func (g *Gate) start(now time.Time, t *Ticket) {
	g.running++
	sojourn := now.Sub(t.arrived)
	if !g.sojournSeen || sojourn < g.minSojourn {
		g.minSojourn = sojourn
		g.sojournSeen = true
	}
}

// slotHoldGain is the weight of one call in the smoothed slot hold time.
const slotHoldGain = 0.15

// Done records that a started call has ended, and starts queued calls in its place. slotHold is its slot hold time, and
// own that time less its waits for outbound calls; validSample says whether both are valid samples of the server's speed.
func (g *Gate) Done(now time.Time, slotHold, own time.Duration, validSample bool) {
	if validSample {
		g.limit.observe(own, g.running)
		if g.slotHold == 0 {
			g.slotHold = slotHold
		}
		g.slotHold += time.Duration(slotHoldGain * float64(slotHold-g.slotHold))
	}
	g.running--
	g.level.completions++
	g.startQueued(now)
}

// Cancel removes a ticket from the queue; it returns false if the ticket isn't queued any more.
func (g *Gate) Cancel(t *Ticket) bool {
	if !t.queued {
		return false
	}
	g.queue.remove(t)
	return true
}

// maxRaiseInterval bounds the raise interval for calls with a long slot hold time.
const maxRaiseInterval = 400 * time.Millisecond

// raiseInterval returns the time between checks for overload. It is at least the slot hold time of a call, up to maxRaiseInterval,
// so that a queue which persists for that long is more than a burst.
func (g *Gate) raiseInterval() time.Duration {
	return max(g.cfg.LevelInterval, min(g.slotHold, maxRaiseInterval))
}

// maxSojourn returns the longest wait in the queue. It is at least the slot hold time of a call, up to maxRaiseInterval, in which
// every slot is released once.
func (g *Gate) maxSojourn() time.Duration {
	return max(g.cfg.MaxSojourn, min(g.slotHold, maxRaiseInterval))
}

// Tick adjusts the limit and the level, starts queued calls that fit and refuses those that have waited too long.
func (g *Gate) Tick(now time.Time) {
	g.expireQueued(now)
	g.startQueued(now)
	g.limit.tick(now)
	g.runningSum += float64(g.running)
	g.runningSamples++
	if now.Sub(g.lowerStart) >= g.lowerInterval() {
		g.lowerStart = now
		g.level.decay(now, g.slotHold)
		g.lowerLevel(now)
	}
	if now.Sub(g.raiseStart) >= g.raiseInterval() {
		g.raiseStart = now
		g.raiseLevel(now)
	}
}

// lowerInterval returns the time between reductions of the level: long enough for callers to learn of one reduction
// and for their calls to arrive before the next.
func (g *Gate) lowerInterval() time.Duration {
	return max(2*g.cfg.LevelInterval, min(g.slotHold/4, maxRaiseInterval/2))
}

// raiseLevel raises the level if a queue persisted for the whole interval, or the queue refused calls.
func (g *Gate) raiseLevel(now time.Time) {
	queuePersisted := g.sojournSeen && g.minSojourn > g.cfg.TargetDelay
	if queuePersisted || g.queueRefusals > 0 {
		g.level.raiseOverloaded(now, g.capacity(now))
		g.lastRaise = now
		g.evictBelowLevel()
	}
	g.queueRefusals = 0
	g.sojournSeen = false
}

// evictBelowLevel refuses queued calls that are now below the level, so that none of them starts while a higher
// tier is refused.
func (g *Gate) evictBelowLevel() {
	for len(g.queue) > 0 {
		lowest := g.queue.lowest()
		if lowest.Priority >= g.level.value {
			return
		}
		g.queue.remove(lowest)
		lowest.Notify(Decision{Reason: wire.ReasonBelowLevel})
	}
}

// lowerLevel lowers the level if no call is queued and slots are free. It waits for one raise interval after a raise, so
// that calls admitted before it have ended.
func (g *Gate) lowerLevel(now time.Time) {
	meanRunning := g.runningSum / float64(g.runningSamples)
	g.runningSum, g.runningSamples = 0, 0
	if g.slotHold == 0 || len(g.queue) > 0 || now.Sub(g.lastRaise) < g.raiseInterval() {
		return
	}
	capacity := g.capacity(now) * targetUtilization
	g.level.lower(now, capacity-meanRunning/g.slotHold.Seconds(), capacity)
}

// capacity returns the calls per second that the limit and the slot hold time allow, or 0 if the slot hold time isn't known yet.
func (g *Gate) capacity(now time.Time) float64 {
	if g.slotHold == 0 {
		return 0
	}
	return float64(g.limit.current(now)) / g.slotHold.Seconds()
}

// expireQueued refuses queued calls that are past their deadline or have waited for maxSojourn.
func (g *Gate) expireQueued(now time.Time) {
	for i := 0; i < len(g.queue); {
		t := g.queue[i]
		expired := !now.Before(t.Deadline)
		if !expired && now.Sub(t.arrived) < g.maxSojourn() {
			i++
			continue
		}
		g.queue.remove(t)
		g.queueRefusals++
		reason := wire.ReasonQueue
		if expired {
			reason = wire.ReasonDeadline
		}
		t.Notify(Decision{Reason: reason})
		i = 0
	}
}

// startQueued starts queued calls, highest priority first, while they fit; it refuses those past their deadline.
func (g *Gate) startQueued(now time.Time) {
	for len(g.queue) > 0 && g.canStart(now, g.queue[0].Priority) {
		t := heap.Pop(&g.queue).(*Ticket)
		if !now.Before(t.Deadline) {
			t.Notify(Decision{Reason: wire.ReasonDeadline})
			continue
		}
		g.start(now, t)
		t.Notify(Decision{Start: true})
	}
}

// Level returns the admission level: calls of a lower priority are refused.
func (g *Gate) Level() priority.Priority { return g.level.value }

// Snapshot returns the Gate's state at now.
func (g *Gate) Snapshot(now time.Time) Snapshot {
	return Snapshot{
		Limit: g.limit.current(now), Running: g.running, Queued: len(g.queue),
		Level: g.level.value, OwnTime: g.limit.meanOwnTime,
	}
}

// SetSlots changes the number of calls that the backend server can run concurrently; it resets the limit to that number.
func (g *Gate) SetSlots(slots int) {
	slots = max(slots, 1)
	if slots == g.limit.slots {
		return
	}
	g.cfg.Slots = slots
	g.cfg.MaxQueued = slots
	g.limit.slots = slots
	if !g.minLimitSet {
		g.limit.floor = max(slots/10, 1)
	}
	g.limit.value = float64(slots)
}
