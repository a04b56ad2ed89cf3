package callgraph

import "time"

// Rates holds numbers by route: calls per run, or calls a second.
type Rates map[string]float64

// Learner learns which calls the runs of each route make at one server. Calls don't say which run made them, so each call
// is attributed in shares to the runs in progress. A run whose time limit is earlier can't have made it; a call with less
// time left than its route's calls get ends with its run; otherwise shares go by the calls a second of the runs of each
// route, which are the rates that make the calls of the last seconds most likely (expectation maximization). The result
// is the calls of whole succeeded runs, so neither slow services below nor failed calls change it. Its zero value has no
// knowledge; it isn't safe for concurrent use.
type Learner struct {
	// NoLateCalls assumes that no call is seen late: a run whose time limit is before the call's didn't make it.
	NoLateCalls bool

	routes       map[string]*routeStats
	byIndex      []*routeStats // the values of routes, as they are gone through on each call
	origin       time.Time     // of the time limits in routeStats.deadlines
	calls        map[string]*callStats
	restored     map[string]Rates // of routes that haven't run since the start
	intervals    []interval       // of the last seconds
	lateness     lateness
	accruedUntil time.Time // until when run time is added up
	lastDecay    time.Time // when evidence last decayed
	firstUpdate  time.Time
}

// Update recomputes the calls a second of each route's runs and decays old evidence. It is to be called some times a second.
func (l *Learner) Update(now time.Time) {
	l.accrueRunTime(now)
	l.endInterval(now)
	l.sumRunSeconds()
	for _, c := range l.calls {
		c.dropBefore(now.Add(-window))
		c.updateRates()
	}
	l.decay(now)
}
