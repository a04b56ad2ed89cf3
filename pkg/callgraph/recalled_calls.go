package callgraph

// The constants of knowledge that outlasts a node.
const (
	// recallRuns is how many runs earlier knowledge counts as.
	recallRuns = 30
	// knownRuns is the count of runs that ended well from which their calls are worth keeping. Evidence of the first
	// half minute is forgotten within seconds, and a kind that is held down by an overload has five runs a second: with
	// 30 runs such a kind wasn't kept at all.
	knownRuns = 10
)

// Restore takes what was known before this node started: the calls of one run of each route.
func (l *Learner) Restore(known map[string]Rates) {
	if l.recall == nil {
		l.recall = map[string]Rates{}
	}
	for route, calls := range known {
		if s := l.routes[route]; s == nil {
			l.recall[route] = calls
		} else if s.good.runs < recallRuns {
			s.remember(calls)
		}
	}
}

// remember takes the calls of one run as known before, if there are any.
func (s *routeStats) remember(calls Rates) {
	if calls != nil {
		s.recalled, s.recalledRuns = calls, recallRuns
	}
}

// ReliableCalls returns the calls of one run of each route, as far as they were seen in enough runs.
func (l *Learner) ReliableCalls() map[string]Rates {
	known := map[string]Rates{}
	for route, s := range l.routes {
		if s.good.runs >= knownRuns {
			known[route] = l.CallsPerRun(route)
		}
	}
	return known
}
