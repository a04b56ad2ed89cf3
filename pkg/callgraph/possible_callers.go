package callgraph

import "time"

// Parameters of the search for the caller of one call.
const (
	// knownCallsMaxAge is for how long the calls per run of a route are kept for single calls: computing them for each call
	// would take longer than the rest of the search.
	knownCallsMaxAge = 500 * time.Millisecond
	// minLateShare is the share of calls seen late from which a run that ends shortly before a call can be its caller.
	minLateShare = 0.1
)

// PossibleCallers calls f for each run that may have made a call of the route with the time limit, and whose route is known to
// make such calls. A call with less time left than its route's calls get ends with its run; another ends no later. The call
// must have been passed to ObserveCall before.
func (l *Learner) PossibleCallers(now time.Time, route string, deadline time.Time, f func(r *Run)) {
	c := l.calls[route]
	if c == nil {
		return
	}
	ownLimit := deadline.Sub(now) >= c.longestLeft-deadlineTolerance
	late := l.lateCallShare() >= minLateShare
	at := l.sinceOrigin(deadline)
	for _, s := range l.routes {
		if l.knownCalls(now, s)[route] <= 0 {
			continue
		}
		for i, d := range s.deadlines {
			end := compareDeadline(d - at)
			if end == runEndsTogether || end == runEndsLater && ownLimit || end == runEndsSlightlyEarlier && late {
				f(s.running[i])
			}
		}
	}
}

// knownCalls returns the calls per run of a route as of at most knownCallsMaxAge ago.
func (l *Learner) knownCalls(now time.Time, s *routeStats) Rates {
	if s.known == nil || now.Sub(s.knownAt) > knownCallsMaxAge {
		s.known, s.knownAt = l.reliableCallsOf(s), now
	}
	return s.known
}

// reliableCallsOf returns the calls per run of a route, or no calls while too few runs have succeeded to tell.
func (l *Learner) reliableCallsOf(s *routeStats) Rates {
	if s.succeeded.runs < minSucceededRuns && s.restored == nil {
		return Rates{}
	}
	return l.callsPerRunOf(s)
}

// Route returns the route of the run.
func (r *Run) Route() string { return r.stats.route }

// Deadline returns the time limit of the run.
func (r *Run) Deadline() time.Time { return r.deadline }

// RemainingCalls calls f for each route that the run's route calls, with the calls of a whole run and those that this run still
// has to make. The calls per run are those that PossibleCallers last used.
func (r *Run) RemainingCalls(f func(route string, whole, remaining float64)) {
	for route, whole := range r.stats.known {
		remaining := whole
		for _, c := range r.calls {
			if c.to.route == route {
				remaining = max(whole-c.count, 0)
			}
		}
		f(route, whole, remaining)
	}
}
