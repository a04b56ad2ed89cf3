package overload

import (
	"math"
	"time"
)

// UsableFractionController works out which part of a server's room may be planned for. What one request costs is learned,
// and learned badly while many calls fail, as after a restart in the middle of an overload; the plan then lets
// in several times too much and has no way to see that. The control does: it takes room away while requests
// are turned away at the server's gate, and gives it back slowly. The other way round a service that turns work away
// or fails it is planned with as full though its slots are free, since requests end before they have made all of
// their calls: the control then adds room. Its zero value plans for all.
type UsableFractionController struct {
	taken float64 // part of the room that isn't planned for
	added float64 // logarithm of how many times the room is planned for, beyond that
	first time.Time
	last  time.Time
}

// GateLoad is what a gate saw of late.
type GateLoad struct {
	RejectedShare float64 // share of the requests that it turned away for want of room
	Utilization   float64 // slots in use, and requests that wait, as a share of the slots
	Bottleneck    bool    // by the plan, this service is what holds requests down
}

// The constants of the control.
const (
	// turnedFree is the share of requests that may be turned away without effect: what one server turns away another
	// one takes, and since the calls of old requests go first it is new requests that end by it.
	turnedFree = 0.25
	// takeRate is how fast room is taken away, as a share a second at a gate that turns all away. The effect is
	// seen after a second or so: reports spread, and what was let in before has to end.
	takeRate = 0.8
	// giveRate is how fast it is given back, as a share of the whole a second, and freeGiveRate the same while slots are free:
	// then nothing is turned away any more, whatever the counts of the last seconds say.
	giveRate     = 0.25
	freeGiveRate = 1.5
	// leastRoom is the part that is always planned for, so that there is something to learn from.
	leastRoom = 0.08
	// learnTime after the server is first used nothing is taken: what is turned away then tells of costs that aren't
	// learned yet, and soon are. It counts from the first use, since the desired state may come long after the start.
	learnTime = 3 * time.Second
	// longestStep bounds the time that one look stands for.
	longestStep = time.Second
	// freeUse is the use below which a server that is planned as full has slots free, and fullUse the one that added
	// room aims at.
	freeUse = 0.7
	fullUse = 0.9
	// leastUse bounds how far from full a server may seem at one look.
	leastUse = 0.3
	// mostRoom is how many times its room a server is planned for at the most.
	mostRoom = 3.0
	// addTime is the time in which added room goes the whole way to where a server would be full, up or down, and
	// dropTime the one in which it falls to a third when it isn't wanted any more.
	addTime  = 1500 * time.Millisecond
	dropTime = 500 * time.Millisecond
)

// Observe takes what the gate saw of late.
func (c *UsableFractionController) Observe(now time.Time, g GateLoad) {
	step := min(max(now.Sub(c.last), 0), longestStep)
	if c.last.IsZero() {
		step = 0
	}
	c.last = now
	if c.first.IsZero() && g.Utilization > 0 {
		c.first = now
	}
	if c.first.IsZero() || now.Sub(c.first) < learnTime {
		return
	}
	c.add(step, g)
	switch {
	case g.Utilization < freeUse:
		c.taken = max(c.taken-freeGiveRate*step.Seconds(), 0)
	case g.RejectedShare > turnedFree:
		left := (1 - c.taken) * math.Exp(-takeRate*g.RejectedShare*step.Seconds())
		c.taken = min(1-left, 1-leastRoom)
	default:
		c.taken = max(c.taken-giveRate*step.Seconds(), 0)
	}
}

// add plans for more room while the server is taken for full and isn't.
func (c *UsableFractionController) add(step time.Duration, g GateLoad) {
	switch {
	case !g.Bottleneck || g.RejectedShare > turnedFree:
		c.added *= math.Exp(-step.Seconds() / dropTime.Seconds())
	case g.Utilization < freeUse || g.Utilization > fullUse:
		c.added += math.Log(fullUse/max(g.Utilization, leastUse)) * step.Seconds() / addTime.Seconds()
		c.added = min(max(c.added, 0), math.Log(mostRoom))
	}
}

// UsableFraction returns the part of the room that may be planned for; it may be above 1.
func (c *UsableFractionController) UsableFraction() float64 { return (1 - c.taken) * math.Exp(c.added) }
