package gate

import "time"

// The weights of one run in the smoothed statistics of the server.
const (
	// holdTimeWeight is the weight of one request in the smoothed slot hold time.
	holdTimeWeight = 0.05
	// slowdownWeight is the weight of one request in the smoothed slowdown factor.
	slowdownWeight = 0.03
	// maxSlowdown bounds the slowdown of one request: the work of some takes many times as long as is typical.
	maxSlowdown = 20.0
	// outcomeWeight is the weight of one run in the smoothed shares of successful and of refused runs.
	outcomeWeight = 0.05
)

// Outcome is how a started request ended at the server.
type Outcome uint8

// The outcomes.
const (
	Answered  Outcome = iota + 1 // with a successful answer
	Failed                       // with an error or an incomplete answer
	Shed                         // the server refused it
	Abandoned                    // the caller gave up
)

// String returns the outcome's name in metrics.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case Failed:
		return "failed"
	case Shed:
		return "shed"
	case Abandoned:
		return "left"
	}
	return "unknown"
}

// Run is a started request that has ended.
type Run struct {
	Held        time.Duration // for how long it held its slot
	TypicalHold time.Duration // as in its Ticket
	CallShare   float64       // likewise
	Outcome     Outcome
}

// Finish records that a started request ended with an outcome after it held its slot, and starts queued tickets. typical is
// the slot hold time of its kind over all servers of the service, or 0 if unknown.
func (g *Gate) Finish(now time.Time, held, typical time.Duration, o Outcome) {
	g.FinishRun(now, Run{Held: held, TypicalHold: typical, Outcome: o})
}

// FinishRun does the same for a run of which the share of its calls may be known.
func (g *Gate) FinishRun(now time.Time, r Run) {
	o := r.Outcome
	g.running--
	if o != Abandoned {
		g.shedShare -= outcomeWeight * g.shedShare
	}
	switch o {
	case Answered:
		g.observeHold(now, r)
		g.successShare += outcomeWeight * (1 - g.successShare)
	case Failed:
		g.successShare -= outcomeWeight * g.successShare
	case Shed:
		g.shedShare += outcomeWeight
		// The limit stays: the gate never fills the server, so it refuses for a fault of its own, whatever its load.
	case Abandoned:
		if r.TypicalHold > 0 { // the typical time counts runs that were left as well, so it may be too short
			g.held.leave(now, max(r.TypicalHold, g.holdTime)-r.Held)
		}
	}
	g.StartQueued(now)
}

// observeHold adds one run's slot hold time to the smoothed hold time and slowdown, and to the lasting speed.
func (g *Gate) observeHold(now time.Time, r Run) {
	held, typical := r.Held, r.TypicalHold
	if g.holdTime == 0 {
		g.holdTime = held
	}
	g.holdTime += time.Duration(holdTimeWeight * float64(held-g.holdTime))
	if typical > 0 {
		g.slowdown += slowdownWeight * (min(float64(held)/float64(typical), maxSlowdown) - g.slowdown)
	}
	g.speed.Observe(held, typical, g.told.Mean(now.Add(-held), now), r.CallShare)
}
