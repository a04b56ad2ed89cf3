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
	route       string
	callers     []*callerStats
	recent      []recentCall
	recentRuns  []callerRuns  // the runs that may have made the recent calls, in the order of the calls
	longestLeft time.Duration // longest time left of the recent calls: the route's own limit, where runs have more left
}

// callerStats holds the calls that the runs of one route make by estimate.
type callerStats struct {
	stats    *routeStats
	rate     float64    // calls a second of one run in progress
	expected candidates // recent calls that the runs have made by the current rates; only updateRates uses it
}

// recentCall is a call; its runs are the next callers entries of recentRuns.
type recentCall struct {
	at      time.Time
	left    time.Duration
	callers int
}

// callerRuns are the runs of one route that may have made a call.
type callerRuns struct {
	caller *callerStats
	candidates
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
		c = &callStats{route: route}
		if l.calls == nil {
			l.calls = map[string]*callStats{}
		}
		l.calls[route] = c
	}
	left := deadline.Sub(now)
	at := l.sinceOrigin(deadline)
	w := l.weightsFor(c, left)
	first, sum := len(c.recentRuns), 0.0
	for _, s := range l.byIndex {
		if runs := w.candidates(l.compareDeadlines(now, s, at)); runs.total() > 0 {
			k := c.caller(s)
			c.recentRuns = append(c.recentRuns, callerRuns{k, runs})
			sum += runs.total() * k.rate
		}
	}
	if sum <= 0 {
		c.recentRuns = c.recentRuns[:first]
		return // no known run lasts as long as the call
	}
	for _, runs := range c.recentRuns[first:] {
		w.attribute(runs.caller.stats, c, at, runs.caller.rate/sum)
	}
	if len(c.recent) < maxRecentCalls {
		c.recent = append(c.recent, recentCall{at: now, left: left, callers: len(c.recentRuns) - first})
	} else {
		c.recentRuns = c.recentRuns[:first]
	}
}

// HasPossibleCaller reports whether a run is in progress that lasts at least until a time limit, so that it can have made a
// call with that limit.
func (l *Learner) HasPossibleCaller(deadline time.Time) bool {
	at := l.sinceOrigin(deadline)
	for _, s := range l.byIndex {
		for _, d := range s.deadlines {
			if end := compareDeadline(d - at); end == runEndsTogether || end == runEndsLater {
				return true
			}
		}
	}
	return false
}

// caller returns the statistics of the calls by a route's runs; a new caller begins with a rate of 1.
func (c *callStats) caller(s *routeStats) *callerStats {
	for _, k := range c.callers {
		if k.stats == s {
			return k
		}
	}
	k := &callerStats{stats: s, rate: 1}
	c.callers = append(c.callers, k)
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

// compareDeadline compares the time limit of a run with that of a call that ends d earlier.
func compareDeadline(d time.Duration) deadlineOrder {
	switch {
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

// runCounts holds by deadlineOrder the number of runs of a route.
type runCounts [runEndsLater + 1]int

// compareDeadlines counts the runs of a route by their time limits relative to a call's, and has the lateness of the call
// observed.
func (l *Learner) compareDeadlines(now time.Time, s *routeStats, deadline time.Duration) (n runCounts) {
	for i, d := range s.deadlines {
		d -= deadline
		n[compareDeadline(d)]++
		if -maxLateness <= d && d <= maxLateness {
			l.lateness.observe(now, s.running[i], d)
		}
	}
	return n
}

// candidates returns how many of the runs may have made the call, by weight.
func (w weights) candidates(runs runCounts) candidates {
	return candidates{
		sameDeadline:  w[runEndsTogether]*float64(runs[runEndsTogether]) + w[runEndsSlightlyEarlier]*float64(runs[runEndsSlightlyEarlier]),
		laterDeadline: w[runEndsLater] * float64(runs[runEndsLater]),
	}
}

// attribute adds a call's shares to the runs of one route; rate is the calls a second of one of them, divided by the
// weighted rates of all candidates.
func (w weights) attribute(s *routeStats, c *callStats, deadline time.Duration, rate float64) {
	for i := range w {
		w[i] *= rate
	}
	for i, d := range s.deadlines {
		if share := w[compareDeadline(d-deadline)]; share > 0 {
			s.running[i].add(c, share)
		}
	}
}
