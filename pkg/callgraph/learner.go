package callgraph

import "time"

// Rates are numbers by route: calls of one run, or counts a second.
type Rates map[string]float64

// Learner learns which calls the runs of each route make at one server. Nothing tells which run made a call, so
// each call is shared out over the runs in progress: one whose time limit is earlier can't have made it; a call with
// less time left than its route gives ends with its run; beyond that it goes by the calls a second of the runs of
// each route, which are those under which the calls of the last seconds are the most likely (expectation and
// maximization in turn). What counts in the end is the calls of whole runs that ended well, so that neither slow
// services below nor failed calls change it. Its zero value knows nothing; it isn't safe for concurrent use.
type Learner struct {
	// NoLateCalls tells that no call is seen late: one that seems to end after a run isn't the run's.
	NoLateCalls bool

	routes   map[string]*routeStats
	calls    map[string]*callStats
	recall   map[string]Rates // of routes that haven't run yet
	seen     []stretch        // of the last seconds
	lateness lateness
	passed   time.Time // until when the time in progress is added up
	faded    time.Time // when evidence was last forgotten
	first    time.Time // look
}

// Update works out the calls a second of each route's runs from what was seen since the last look and before, and
// forgets what is old. It is to be called some times a second.
func (l *Learner) Update(now time.Time) {
	l.pass(now)
	l.endStretch(now)
	inTime := l.timeInProgress()
	for _, c := range l.calls {
		c.forgetBefore(now.Add(-window))
		c.improve(inTime)
	}
	l.fade(now)
}
