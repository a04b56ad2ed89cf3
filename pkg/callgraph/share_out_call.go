package callgraph

import "time"

// The constants of sharing a call out.
const (
	// sameEnd is how far the time limit of a call may be from that of its run to be taken for the same: both are
	// told in milliseconds, and a call takes a moment to come.
	sameEnd = 2 * time.Millisecond
	// chanceEnd is the chance that a call has the same time limit as a run that didn't make it.
	chanceEnd = 0.003
	// priorEnds is the weight, in calls, of the guess that half of the calls of a route end with their runs.
	priorEnds = 2.0
	// mostRecent bounds the calls of one route that are kept to work out the rates.
	mostRecent = 3000
)

// callStats is what is known of the calls of one route.
type callStats struct {
	by     map[*routeStats]*callerStats
	recent []recentCall
}

// callerStats are the calls that runs of one route are taken to have made.
type callerStats struct {
	rate    float64 // a second of one run in progress
	sum     float64 // made
	sameEnd float64 // of those, with the run's time limit
}

// recentCall is a call with the runs that may have made it, by route.
type recentCall struct {
	at   time.Time
	runs map[*routeStats]likely
}

// likely is how many runs of a route may have made a call, weighed by their time limits.
type likely struct {
	sameEnd float64 // those with the call's time limit
	other   float64
}

func (n likely) sum() float64 { return n.sameEnd + n.other }

// Call notes that the server makes a call, with its time limit.
func (l *Learner) Call(now time.Time, route string, deadline time.Time) {
	c := l.calls[route]
	if c == nil {
		c = &callStats{by: map[*routeStats]*callerStats{}}
		if l.calls == nil {
			l.calls = map[string]*callStats{}
		}
		l.calls[route] = c
	}
	call := recentCall{at: now, runs: make(map[*routeStats]likely, len(l.routes))}
	sum := 0.0
	for _, s := range l.routes {
		k := c.caller(s)
		if runs := k.likely(s.running, deadline); runs.sum() > 0 {
			call.runs[s] = runs
			sum += runs.sum() * k.rate
		}
	}
	if sum <= 0 {
		return // a stray one, or no run lasts as long as the call
	}
	for s, runs := range call.runs {
		c.caller(s).take(s.running, route, deadline, runs, sum)
	}
	if len(c.recent) < mostRecent {
		c.recent = append(c.recent, call)
	}
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
	together              // most likely the run's call
	later
)

// ends compares the time limit of the run with that of a call.
func (r *Run) ends(deadline time.Time) endOf {
	switch d := r.deadline.Sub(deadline); {
	case d < -sameEnd:
		return earlier
	case d <= sameEnd:
		return together
	default:
		return later
	}
}

// weights returns how much more likely it is that a run made a call if their time limits are the same, and if the
// run's is later, than that another one did.
func (k *callerStats) weights() (same, other float64) {
	ends := (k.sameEnd + priorEnds/2) / (k.sum + priorEnds)
	return ends / chanceEnd, (1 - ends) / (1 - chanceEnd)
}

// likely returns how many of the runs may have made the call.
func (k *callerStats) likely(runs []*Run, deadline time.Time) (n likely) {
	same, other := k.weights()
	for _, r := range runs {
		switch r.ends(deadline) {
		case together:
			n.sameEnd += same
		case later:
			n.other += other
		case earlier:
		}
	}
	return n
}

// take shares the part of a call that falls to a route's runs out to them; sum is of all routes.
func (k *callerStats) take(runs []*Run, route string, deadline time.Time, n likely, sum float64) {
	same, other := k.weights()
	rate := k.rate / sum
	for _, r := range runs {
		switch r.ends(deadline) {
		case together:
			r.add(route, same*rate)
		case later:
			r.add(route, other*rate)
		case earlier:
		}
	}
	k.sameEnd += n.sameEnd * rate
	k.sum += n.sum() * rate
}
