package callgraph

import (
	"math"
	"time"
)

// The constants of calls that are seen late: the time limit of a call is counted from when the node sees it, and a
// busy node sees it some milliseconds after it was made, so that it seems to end after its run.
const (
	// lateEnd is how much later than that of its run the limit of a call may seem to be.
	lateEnd = 25 * time.Millisecond
	// sureCalls is the count of calls up to which none is taken to have been seen late.
	sureCalls = 20.0
	// sureSpread is by how many standard deviations more runs have to end a little before the calls than after them.
	sureSpread = 2.0
)

// lateness measures which part of the calls is seen late. Runs that didn't make a call end a little before it as often
// as a little after it; what is more before it are the runs of calls that were seen late. Runs that have just begun
// aren't looked at: where run and call are given the same time, they always end before it.
type lateness struct {
	same   float64 // runs that end with a call
	before float64 // that end up to lateEnd before it
	after  float64 // that end up to lateEnd after it
}

// note counts the runs around the time limit of a call.
func (t *lateness) note(now time.Time, r *Run, deadline time.Time) {
	if now.Sub(r.begun) <= lateEnd {
		return
	}
	switch d := r.deadline.Sub(deadline); {
	case d < -lateEnd || d > lateEnd:
	case d < -sameEnd:
		t.before++
	case d > sameEnd:
		t.after++
	default:
		t.same++
	}
}

// share returns the part of the calls with their run's time limit that are seen late.
func (t *lateness) share() float64 {
	late := t.before - t.after - sureSpread*math.Sqrt(t.before+t.after)
	if late <= 0 {
		return 0
	}
	return late / (late + max(t.same-t.after*float64(2*sameEnd)/float64(lateEnd-sameEnd), 0) + sureCalls)
}

// seenLate returns the part of the calls that is seen late.
func (l *Learner) seenLate() float64 {
	if l.NoLateCalls {
		return 0
	}
	return l.lateness.share()
}

// fade forgets all but a part.
func (t *lateness) fade(keep float64) {
	t.same *= keep
	t.before *= keep
	t.after *= keep
}
