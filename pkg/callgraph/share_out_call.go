package callgraph

import "time"

// The constants of sharing a call out.
const (
	// sameEnd is how far the time limit of a call may be from that of its run to be taken for the same: both are
	// told in milliseconds, and a call takes a moment to come.
	sameEnd = 2 * time.Millisecond
	// chanceEnd is the chance that a call has the same time limit as a run that didn't make it.
	chanceEnd = 0.003
	// chanceLate is the chance that a call seems to end up to lateEnd after a run that didn't make it.
	chanceLate = 0.03
	// strayEnd is the chance that a call with less time than its route's whole doesn't end with its run.
	strayEnd = 0.02
	// mostRecent bounds the calls of one route that are kept to work out the rates.
	mostRecent = 3000
)

// callStats is what is known of the calls of one route.
type callStats struct {
	by     map[*routeStats]*callerStats
	recent []recentCall
	whole  time.Duration // most time that one of them had: the route's own, where runs have more left
}

// callerStats are the calls that runs of one route are taken to have made.
type callerStats struct {
	rate float64 // a second of one run in progress
}

// recentCall is a call with the runs that may have made it, by route.
type recentCall struct {
	at   time.Time
	left time.Duration
	runs map[*routeStats]likely
}

// likely is how many runs of a route may have made a call, weighed by their time limits.
type likely struct {
	sameEnd float64 // those with the call's time limit, seen late or not
	other   float64
}

func (n likely) sum() float64 { return n.sameEnd + n.other }

// ObserveCall notes that the server makes a call, with its time limit.
func (l *Learner) ObserveCall(now time.Time, route string, deadline time.Time) {
	c := l.calls[route]
	if c == nil {
		c = &callStats{by: map[*routeStats]*callerStats{}}
		if l.calls == nil {
			l.calls = map[string]*callStats{}
		}
		l.calls[route] = c
	}
	left := deadline.Sub(now)
	call := recentCall{at: now, left: left, runs: make(map[*routeStats]likely, len(l.routes))}
	w := l.weightsOf(c, left)
	sum := 0.0
	for _, s := range l.routes {
		for _, r := range s.running {
			l.lateness.note(now, r, deadline)
		}
		if runs := w.likely(s.running, deadline); runs.sum() > 0 {
			call.runs[s] = runs
			sum += runs.sum() * c.caller(s).rate
		}
	}
	if sum <= 0 {
		return // a stray one, or no run lasts as long as the call
	}
	for s := range call.runs {
		w.shareOut(s.running, route, deadline, c.caller(s).rate/sum)
	}
	if len(c.recent) < mostRecent {
		c.recent = append(c.recent, call)
	}
}

// HasPossibleCaller tells whether a run is in progress that lasts at least until a time limit, so that it can have made a
// call with that limit.
func (l *Learner) HasPossibleCaller(deadline time.Time) bool {
	for _, s := range l.routes {
		for _, r := range s.running {
			if end := r.ends(deadline); end == together || end == later {
				return true
			}
		}
	}
	return false
}

// caller returns what is known of the calls of a route's runs.
func (c *callStats) caller(s *routeStats) *callerStats {
	k := c.by[s]
	if k == nil {
		k = &callerStats{rate: 1}
		c.by[s] = k
	}
	return k
}

// endOf says how the time limit of a run stands to that of a call.
type endOf uint8

const (
	earlier  endOf = iota // a call ends with its run at the latest
	late                  // the run's call, if the node sees calls late
	together              // most likely the run's call
	later
)

// ends compares the time limit of the run with that of a call.
func (r *Run) ends(deadline time.Time) endOf {
	switch d := r.deadline.Sub(deadline); {
	case d < -lateEnd:
		return earlier
	case d < -sameEnd:
		return late
	case d <= sameEnd:
		return together
	default:
		return later
	}
}

// weights say how much more likely than another one a run is to have made a call, by how their time limits stand to
// each other.
type weights [later + 1]float64

// weightsOf returns those for a call that has so much time left. One that has all the time that calls of its route
// have of late may be of any run that lasts as long; one that has less ends with its run.
func (l *Learner) weightsOf(c *callStats, left time.Duration) weights {
	c.whole = max(c.whole, left)
	if left >= c.whole-sameEnd {
		return weights{late: 1, together: 1, later: 1}
	}
	seenLate := l.seenLate()
	return weights{
		late:     seenLate / chanceLate,
		together: (1 - seenLate) / chanceEnd,
		later:    strayEnd,
	}
}

// likely returns how many of the runs may have made the call.
func (w weights) likely(runs []*Run, deadline time.Time) (n likely) {
	for _, r := range runs {
		switch end := r.ends(deadline); end {
		case together, late:
			n.sameEnd += w[end]
		case later:
			n.other += w[end]
		case earlier:
		}
	}
	return n
}

// shareOut adds a route's part of a call to its runs; rate is the calls a second of one of them, as a share of what all
// runs that may have made it come to.
func (w weights) shareOut(runs []*Run, route string, deadline time.Time, rate float64) {
	for _, r := range runs {
		if share := w[r.ends(deadline)] * rate; share > 0 {
			r.add(route, share)
		}
	}
}
