package callgraph

import (
	"math"
	"slices"
	"time"
)

// Parameters of the decay of evidence.
const (
	// halfLife is the half-life of evidence: long enough to learn rare kinds, short enough to follow a new version of a service.
	halfLife = 30 * time.Second
	// initialHalfLife is the half-life at the start. It then grows as halfLifeAgeFraction of the time since the start, up to
	// halfLife, so that first guesses decay soon.
	initialHalfLife     = 500 * time.Millisecond
	halfLifeAgeFraction = 0.2
	// latenessHalfLife is the half-life of the lateness of calls, which follows the load.
	latenessHalfLife = 2 * time.Second
	// minRememberedRuns is the number of runs below which a route without runs in progress is dropped.
	minRememberedRuns = 1e-3
)

// decay decays all evidence by the time since the last decay, and drops routes without evidence.
func (l *Learner) decay(now time.Time) {
	if l.lastDecay.IsZero() {
		l.lastDecay, l.firstUpdate = now, now
	}
	life := min(max(initialHalfLife.Seconds(), halfLifeAgeFraction*now.Sub(l.firstUpdate).Seconds()), halfLife.Seconds())
	keep := math.Exp2(-now.Sub(l.lastDecay).Seconds() / life)
	slowly := math.Exp2(-now.Sub(l.lastDecay).Seconds() / halfLife.Seconds())
	l.lateness.scale(math.Exp2(-now.Sub(l.lastDecay).Seconds() / latenessHalfLife.Seconds()))
	l.lastDecay = now
	for route, s := range l.routes {
		s.succeeded.scale(keep)
		s.all.scale(keep)
		s.restoredRuns *= slowly
		if s.all.runs < minRememberedRuns && len(s.running) == 0 {
			l.forget(route, s)
		}
	}
}

// scale multiplies the counts by keep.
func (s *runSums) scale(keep float64) {
	s.runs *= keep
	for c := range s.calls {
		s.calls[c] *= keep
	}
}

// forget drops a route and all references to it.
func (l *Learner) forget(route string, s *routeStats) {
	delete(l.routes, route)
	l.byIndex = slices.DeleteFunc(l.byIndex, func(x *routeStats) bool { return x == s })
	for i := range l.intervals {
		seen := &l.intervals[i].runSeconds
		*seen = slices.DeleteFunc(*seen, func(r routeSeconds) bool { return r.stats == s })
	}
	for name, c := range l.calls {
		if c.forgetCaller(s); len(c.callers) == 0 {
			delete(l.calls, name)
		}
	}
}

// forgetCaller drops a route from the callers.
func (c *callStats) forgetCaller(s *routeStats) {
	all := c.recentRuns
	c.recentRuns = all[:0]
	for i := range c.recent {
		r := &c.recent[i]
		callers := r.callers
		for _, runs := range all[:callers] {
			if runs.caller.stats == s {
				r.callers--
			} else {
				c.recentRuns = append(c.recentRuns, runs)
			}
		}
		all = all[callers:]
	}
	c.callers = slices.DeleteFunc(c.callers, func(k *callerStats) bool { return k.stats == s })
}
