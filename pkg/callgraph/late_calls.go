package callgraph

import (
	"math"
	"time"
)

// Parameters of late calls. The time limit of a call is counted from when the node sees it, and a busy node sees it some
// milliseconds after it was made, so that it seems to end after its run.
const (
	// maxLateness is how much later than its run's time limit a call's may seem to be.
	maxLateness = 25 * time.Millisecond
	// latenessPriorCalls is the number of calls without lateness that is added to what was seen, so that little evidence shows
	// next to no late calls.
	latenessPriorCalls = 20.0
	// latenessDeviations is by how many standard deviations the runs that end shortly before calls have to exceed those that
	// end shortly after them.
	latenessDeviations = 2.0
)

// lateness measures which share of the calls is seen late. Runs that didn't make a call end shortly before it as often as
// shortly after it; the excess before it are the runs of late calls. Runs that have just begun are ignored: if run and call
// get the same time, such runs always end before the call.
type lateness struct {
	endWith   float64 // runs that end with a call
	endBefore float64 // that end up to maxLateness before it
	endAfter  float64 // that end up to maxLateness after it
}

// observe counts a run whose time limit is d after that of a call.
func (t *lateness) observe(now time.Time, r *Run, d time.Duration) {
	if now.Sub(r.start) <= maxLateness {
		return
	}
	switch {
	case d < -maxLateness || d > maxLateness:
	case d < -deadlineTolerance:
		t.endBefore++
	case d > deadlineTolerance:
		t.endAfter++
	default:
		t.endWith++
	}
}

// lateShare returns the share of the calls with their run's time limit that are seen late.
func (t *lateness) lateShare() float64 {
	late := t.endBefore - t.endAfter - latenessDeviations*math.Sqrt(t.endBefore+t.endAfter)
	if late <= 0 {
		return 0
	}
	return late / (late + max(t.endWith-t.endAfter*float64(2*deadlineTolerance)/float64(maxLateness-deadlineTolerance), 0) + latenessPriorCalls)
}

// lateCallShare returns the share of the calls that are seen late, or 0 if late calls are ruled out.
func (l *Learner) lateCallShare() float64 {
	if l.NoLateCalls {
		return 0
	}
	return l.lateness.lateShare()
}

// scale multiplies the counts by keep.
func (t *lateness) scale(keep float64) {
	t.endWith *= keep
	t.endBefore *= keep
	t.endAfter *= keep
}
