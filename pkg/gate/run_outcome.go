package gate

import "time"

// The weights of one run in what is known of the server.
const (
	// holdGain is the weight of one request in the smoothed time for which a slot is held.
	holdGain = 0.05
	// paceGain is the weight of one request in the smoothed pace.
	paceGain = 0.03
	// mostPace bounds what one request says of the pace: the work of some takes many times as long as usual.
	mostPace = 20.0
	// successGain is the weight of one answer in the smoothed share of good answers.
	successGain = 0.05
)

// Outcome is how a started request ended at the server.
type Outcome uint8

// The outcomes.
const (
	Answered  Outcome = iota + 1 // with an answer of its work
	Failed                       // with an error, or without a whole answer
	Shed                         // the server refused it
	Abandoned                    // the caller gave up
)

// String names the outcome.
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

// Finish notes that a started request has ended after it held its slot; usual is how long requests of its kind hold one
// at any server of the service, or 0.
func (g *Gate) Finish(now time.Time, held, usual time.Duration, o Outcome) {
	g.running--
	if o != Abandoned {
		g.shed -= successGain * g.shed
	}
	switch o {
	case Answered:
		g.observe(held, usual)
		g.success += successGain * (1 - g.success)
	case Failed:
		g.success -= successGain * g.success
	case Shed:
		g.shed += successGain
		// The limit stays: a server that is never filled by us refuses for a fault of its own, whatever its load.
	case Abandoned:
	}
	g.drain(now)
}

// observe counts the time for which a run held its slot.
func (g *Gate) observe(held, usual time.Duration) {
	if g.hold == 0 {
		g.hold = held
	}
	g.hold += time.Duration(holdGain * float64(held-g.hold))
	if usual > 0 {
		g.pace += paceGain * (min(float64(held)/float64(usual), mostPace) - g.pace)
	}
}
