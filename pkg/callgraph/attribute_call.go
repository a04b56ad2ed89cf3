package callgraph

import "time"

// Parameters of the attribution of calls.
const (
	// deadlineTolerance is how far the time limit of a call may be from its run's to count as the same: both are sent in
	// milliseconds, and a call takes a moment to arrive.
	deadlineTolerance = 2 * time.Millisecond
	// chanceSameDeadline is the probability that a call has the same time limit as a run that didn't make it.
	chanceSameDeadline = 0.003
	// chanceLateDeadline is the probability that a call seems to end up to maxLateness after a run that didn't make it.
	chanceLateDeadline = 0.03
	// chanceOtherLimit is the probability that a call with less time left than its route's calls get doesn't end with its run.
	chanceOtherLimit = 0.02
	// maxRecentCalls bounds the calls of one route that are stored to estimate the rates.
	maxRecentCalls = 3000
)

// callStats holds the statistics of the calls of one route.
type callStats struct {
	callers     map[*routeStats]*callerStats
	recent      []recentCall
	longestLeft time.Duration // longest time left of the recent calls: the route's own limit, where runs have more left
}

// callerStats holds the calls that the runs of one route make by estimate.
type callerStats struct {
	rate float64 // calls a second of one run in progress
}

// recentCall is a call with the runs that may have made it, by route.
type recentCall struct {
	at              time.Time
	left            time.Duration
	possibleCallers map[*routeStats]candidates
}

// candidates is how many runs of a route may have made a call, weighted by their time limits.
type candidates struct {
	sameDeadline  float64 // runs with the call's time limit, seen late or not
	laterDeadline float64
}

func (n candidates) total() float64 { return n.sameDeadline + n.laterDeadline }

// ObserveCall attributes a call that the server makes, given its time limit, to the runs in progress.
func (l *Learner) ObserveCall(now time.Time, route string, deadline time.Time) {
	c := l.calls[route]
	if c == nil {
		c = &callStats{callers: map[*routeStats]*callerStats{}}
		if l.calls == nil {
			l.calls = map[string]*callStats{}
		}
		l.calls[route] = c
	}
	left := deadline.Sub(now)
	call := recentCall{at: now, left: left, possibleCallers: make(map[*routeStats]candidates, len(l.routes))}
	w := l.weightsFor(c, left)
	sum := 0.0
	for _, s := range l.routes {
		for _, r := range s.running {
			l.lateness.observe(now, r, deadline)
		}
		if runs := w.candidates(s.running, deadline); runs.total() > 0 {
			call.possibleCallers[s] = runs
			sum += runs.total() * c.caller(s).rate
		}
	}
	if sum <= 0 {
		return // no known run lasts as long as the call
	}
	for s := range call.possibleCallers {
		w.attribute(s.running, route, deadline, c.caller(s).rate/sum)
	}
	if len(c.recent) < maxRecentCalls {
		c.recent = append(c.recent, call)
	}
}

// HasPossibleCaller reports whether a run is in progress that lasts at least until a time limit, so that it can have made a
// call with that limit.
func (l *Learner) HasPossibleCaller(deadline time.Time) bool {
	for _, s := range l.routes {
		for _, r := range s.running {
			if end := r.compareDeadline(deadline); end == runEndsTogether || end == runEndsLater {
				return true
			}
		}
	}
	return false
}

// caller returns the statistics of the calls by a route's runs; a new caller begins with a rate of 1.
func (c *callStats) caller(s *routeStats) *callerStats {
	k := c.callers[s]
	if k == nil {
		k = &callerStats{rate: 1}
		c.callers[s] = k
	}
	return k
}

// deadlineOrder is how the time limit of a run compares with that of a call.
type deadlineOrder uint8

const (
	runEndsEarlier         deadlineOrder = iota // can't be the caller: a call ends with its run at the latest
	runEndsSlightlyEarlier                      // can be the caller if the node sees calls late
	runEndsTogether                             // is most likely the caller
	runEndsLater
)

// compareDeadline compares the time limit of the run with that of a call.
func (r *Run) compareDeadline(deadline time.Time) deadlineOrder {
	switch d := r.deadline.Sub(deadline); {
	case d < -maxLateness:
		return runEndsEarlier
	case d < -deadlineTolerance:
		return runEndsSlightlyEarlier
	case d <= deadlineTolerance:
		return runEndsTogether
	default:
		return runEndsLater
	}
}

// weights holds by deadlineOrder how likely a run is to have made a call, relative to other runs.
type weights [runEndsLater + 1]float64

// weightsFor returns the weights for a call with that time left. A call with all the time that recent calls of its route
// had can be of any run that lasts as long; one with less ends with its run.
func (l *Learner) weightsFor(c *callStats, left time.Duration) weights {
	c.longestLeft = max(c.longestLeft, left)
	if left >= c.longestLeft-deadlineTolerance {
		return weights{runEndsSlightlyEarlier: 1, runEndsTogether: 1, runEndsLater: 1}
	}
	seenLate := l.lateCallShare()
	return weights{
		runEndsSlightlyEarlier: seenLate / chanceLateDeadline,
		runEndsTogether:        (1 - seenLate) / chanceSameDeadline,
		runEndsLater:           chanceOtherLimit,
	}
}

// candidates returns how many of the runs may have made the call, by weight.
func (w weights) candidates(runs []*Run, deadline time.Time) (n candidates) {
	for _, r := range runs {
		switch end := r.compareDeadline(deadline); end {
		case runEndsTogether, runEndsSlightlyEarlier:
			n.sameDeadline += w[end]
		case runEndsLater:
			n.laterDeadline += w[end]
		case runEndsEarlier:
		}
	}
	return n
}

// attribute adds a call's shares to the runs of one route; rate is the calls a second of one of them, divided by the
// weighted rates of all candidates.
func (w weights) attribute(runs []*Run, route string, deadline time.Time, rate float64) {
	for _, r := range runs {
		if share := w[r.compareDeadline(deadline)] * rate; share > 0 {
			r.add(route, share)
		}
	}
}
