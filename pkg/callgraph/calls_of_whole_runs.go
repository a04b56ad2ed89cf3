package callgraph

// The constants of what is believed of the calls of whole runs.
const (
	// leastRuns is the count of runs from which those that ended well are believed alone: one that failed
	// may not have made all of its calls.
	leastRuns = 5.0
	// MinCallsPerRun is the count of calls by one run below which they are taken for chance.
	MinCallsPerRun = 0.02
	// tracePart of the calls in a run of the route that makes most of them in all is what a run of another one makes at
	// least to be believed: less than that can't be told from noise within a day's load. By all runs and not by one, since of
	// a route that hardly ever runs a few stray calls seem to be many for each run.
	tracePart = 0.2
)

// routeStats is what is known of the runs of one route.
type routeStats struct {
	running []*Run
	inTime  float64 // seconds in progress of all runs, in this stretch
	good    runSums
	all     runSums
	// recalled are the calls of one run by earlier knowledge, which counts as that many runs.
	recalled     Rates
	recalledRuns float64
}

// runSums are runs that have ended, and their calls.
type runSums struct {
	runs  float64
	calls Rates
}

// add counts a run.
func (s *runSums) add(calls []callShare) {
	s.runs++
	if s.calls == nil {
		s.calls = Rates{}
	}
	for _, c := range calls {
		s.calls[c.route] += c.made
	}
}

// CallsPerRun returns how many calls of each route one run of the route makes.
func (l *Learner) CallsPerRun(route string) Rates {
	s := l.routes[route]
	if s == nil {
		return nil
	}
	out := Rates{}
	for c, n := range s.perRun() {
		if n >= max(MinCallsPerRun, tracePart*l.mainCalls(c)) {
			out[c] = n
		}
	}
	return out
}

// mainCalls returns the calls in a run of the route whose runs make most of them in all.
func (l *Learner) mainCalls(called string) float64 {
	most, main := 0.0, 0.0
	for _, s := range l.routes {
		calls := s.perRun()[called]
		if all := calls * (s.all.runs + s.recalledRuns); all > most {
			most, main = all, calls
		}
	}
	return main
}

// perRun returns the calls of one run, of those that ended well if there are enough, and as was known before.
func (s *routeStats) perRun() Rates {
	sums := s.good
	if sums.runs < leastRuns && s.recalled == nil {
		sums = s.all
	}
	runs := sums.runs + s.recalledRuns
	if runs <= 0 {
		return nil
	}
	out := make(Rates, len(sums.calls)+len(s.recalled))
	for c, n := range sums.calls {
		out[c] = n / runs
	}
	for c, n := range s.recalled {
		out[c] += n * s.recalledRuns / runs
	}
	return out
}
