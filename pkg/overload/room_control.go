package overload

import (
	"math"
	"time"
)

// RoomControl works out which part of a server's room may be planned for. What one request costs is learned,
// and learned badly while many calls fail, as after a restart in the middle of an overload; the plan then lets
// in several times too much and has no way to see that. The control does: it takes room away while requests
// are turned away at the server's gate, and gives it back slowly. Its zero value plans for all.
type RoomControl struct {
	taken float64 // part of the room that isn't planned for
	first time.Time
	last  time.Time
}

// The constants of the control.
const (
	// turnedFree is the share of requests that may be turned away without effect: servers are chosen with news
	// that is a little old, and what one turns away another one takes.
	turnedFree = 0.08
	// takeRate is how fast room is taken away, as a share a second at a gate that turns all away. The effect is
	// seen after a second or so: reports spread, and what was let in before has to end.
	takeRate = 0.8
	// giveRate is how fast it is given back, as a share of the whole a second.
	giveRate = 0.25
	// leastRoom is the part that is always planned for, so that there is something to learn from.
	leastRoom = 0.08
	// learnTime after the first look nothing is taken: what is turned away then tells of costs that aren't learned
	// yet, and soon are.
	learnTime = 3 * time.Second
	// longestStep bounds the time that one look stands for.
	longestStep = time.Second
)

// Observe takes the share of requests that the gate turned away of late.
func (c *RoomControl) Observe(now time.Time, turnedAway float64) {
	step := min(max(now.Sub(c.last), 0), longestStep)
	if c.last.IsZero() {
		step = 0
		c.first = now
	}
	c.last = now
	if now.Sub(c.first) < learnTime {
		return
	}
	if turnedAway > turnedFree {
		left := (1 - c.taken) * math.Exp(-takeRate*turnedAway*step.Seconds())
		c.taken = min(1-left, 1-leastRoom)
		return
	}
	c.taken = max(c.taken-giveRate*step.Seconds(), 0)
}

// Part returns the part of the room that may be planned for.
func (c *RoomControl) Part() float64 { return 1 - c.taken }
