package callgraph

import "time"

// Parameters of the calls per run.
const (
	// minSucceededRuns is the number of succeeded runs from which only these count: a failed run may not have made all of its
	// calls.
	minSucceededRuns = 5.0
	// MinCallsPerRun is the number of calls per run below which calls are taken for noise.
	MinCallsPerRun = 0.02
	// minMainCallerFraction is the smallest number of calls per run that counts, as a fraction of those of the main caller, the
	// route whose runs make most of these calls in total: less can't be told from noise within a day's load. The main caller is
	// chosen by the calls of all runs and not of one run, since a few stray calls seem to be many per run of a rare route.
	minMainCallerFraction = 0.2
)

// routeStats holds the statistics of the runs of one route.
type routeStats struct {
	route         string
	running       []*Run
	deadlines     []time.Duration // time limits of running, since Learner.origin
	runSeconds    float64         // seconds in progress of all runs, in the current interval
	windowSeconds float64         // the same within the window; only Update uses it
	succeeded     runSums
	all           runSums
	// restored are the calls of one run as known before the start; they count as restoredRuns runs.
	restored     Rates
	restoredRuns float64
	known        Rates // result of knownCalls
	knownAt      time.Time
}

// runSums counts ended runs and their calls.
type runSums struct {
	runs  float64
	calls Rates
}

// add counts a run with the calls attributed to it.
func (s *runSums) add(calls []attributedCalls) {
	s.runs++
	if s.calls == nil {
		s.calls = Rates{}
	}
	for _, c := range calls {
		s.calls[c.to.route] += c.count
	}
}

// CallsPerRun returns how many calls of each route one run of a route makes.
func (l *Learner) CallsPerRun(route string) Rates {
	s := l.routes[route]
	if s == nil {
		return nil
	}
	return l.callsPerRunOf(s)
}

// callsPerRunOf returns the calls of one run, without those that can't be told from noise.
func (l *Learner) callsPerRunOf(s *routeStats) Rates {
	out := Rates{}
	for c, n := range s.callsPerRun() {
		if n >= max(MinCallsPerRun, minMainCallerFraction*l.mainCallerRate(c)) {
			out[c] = n
		}
	}
	return out
}

// mainCallerRate returns the calls per run of the route whose runs make most of the calls in total.
func (l *Learner) mainCallerRate(called string) float64 {
	highest, rate := 0.0, 0.0
	for _, s := range l.byIndex {
		calls := s.callsPerRunTo(called)
		if all := calls * (s.all.runs + s.restoredRuns); all > highest {
			highest, rate = all, calls
		}
	}
	return rate
}

// callsPerRun returns the calls of one run, by called route.
func (s *routeStats) callsPerRun() Rates {
	sums, runs := s.countedRuns()
	if runs <= 0 {
		return nil
	}
	out := make(Rates, len(sums.calls)+len(s.restored))
	for c := range sums.calls {
		out[c] = s.callsPerRunTo(c)
	}
	for c := range s.restored {
		out[c] = s.callsPerRunTo(c)
	}
	return out
}

// callsPerRunTo returns the calls of one run to one route.
func (s *routeStats) callsPerRunTo(called string) float64 {
	sums, runs := s.countedRuns()
	if runs <= 0 {
		return 0
	}
	return sums.calls[called]/runs + s.restored[called]*s.restoredRuns/runs
}

// countedRuns returns the runs by which the calls per run are computed, the succeeded ones if there are enough, and their
// number together with the runs that the restored knowledge counts as.
func (s *routeStats) countedRuns() (*runSums, float64) {
	sums := &s.succeeded
	if sums.runs < minSucceededRuns && s.restored == nil {
		sums = &s.all
	}
	return sums, sums.runs + s.restoredRuns
}
