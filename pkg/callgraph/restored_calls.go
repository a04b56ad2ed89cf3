package callgraph

// Parameters of the knowledge that outlasts a node.
const (
	// restoredRunsWeight is the number of runs that restored knowledge counts as.
	restoredRunsWeight = 30
	// minReliableRuns is the number of succeeded runs from which their calls are worth storing. Evidence of the first half
	// minute decays within seconds, and a kind limited by an overload has five runs a second: with 30 runs such a kind was
	// never stored.
	minReliableRuns = 10
)

// Restore adds the calls of one run of each route as known before this node started.
func (l *Learner) Restore(known map[string]Rates) {
	if l.restored == nil {
		l.restored = map[string]Rates{}
	}
	for route, calls := range known {
		if s := l.routes[route]; s == nil {
			l.restored[route] = calls
		} else if s.succeeded.runs < restoredRunsWeight {
			s.restore(calls)
		}
	}
}

// restore sets the calls of one run known before the start, if there are any.
func (s *routeStats) restore(calls Rates) {
	if calls != nil {
		s.restored, s.restoredRuns = calls, restoredRunsWeight
	}
}

// ReliableCalls returns the calls of one run of each route that has enough succeeded runs.
func (l *Learner) ReliableCalls() map[string]Rates {
	known := map[string]Rates{}
	for route, s := range l.routes {
		if s.succeeded.runs >= minReliableRuns {
			known[route] = l.CallsPerRun(route)
		}
	}
	return known
}
