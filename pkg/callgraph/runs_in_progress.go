package callgraph

import (
	"slices"
	"time"
)

// window is the time over which the calls a second of the runs of each route are computed: short, since they change with
// the speed of the services below.
const window = 3 * time.Second

// Run is one run in progress.
type Run struct {
	stats    *routeStats
	index    int // in its route's running
	start    time.Time
	deadline time.Time
	calls    []attributedCalls
	// Reserve is the time that the run's caller still needs after it, and CallsToCome the calls that it has to make by then.
	Reserve     time.Duration
	CallsToCome float64
}

// attributedCalls is the number of calls of a route attributed to a run, in shares.
type attributedCalls struct {
	to    *callStats
	count float64
}

// initialCalls is the number of called routes for which a run has room at first: few routes call more.
const initialCalls = 4

// add attributes a share of a call to the run.
func (r *Run) add(to *callStats, share float64) {
	for i := range r.calls {
		if r.calls[i].to == to {
			r.calls[i].count += share
			return
		}
	}
	if r.calls == nil {
		r.calls = make([]attributedCalls, 0, initialCalls)
	}
	r.calls = append(r.calls, attributedCalls{to, share})
}

// interval is the time between two updates, with the seconds in progress of each route's runs.
type interval struct {
	end        time.Time
	runSeconds []routeSeconds
}

// routeSeconds are the seconds in progress of one route's runs.
type routeSeconds struct {
	stats   *routeStats
	seconds float64
}

// sinceOrigin returns a time limit as a duration: durations are compared faster than times.
func (l *Learner) sinceOrigin(deadline time.Time) time.Duration { return deadline.Sub(l.origin) }

// BeginRun notes that a run begins, with the time limit given to the server.
func (l *Learner) BeginRun(now time.Time, route string, deadline time.Time) *Run {
	if l.routes == nil {
		l.routes = map[string]*routeStats{}
		l.origin = deadline
	}
	s := l.routes[route]
	if s == nil {
		s = &routeStats{route: route}
		l.routes[route] = s
		l.byIndex = append(l.byIndex, s)
		s.restore(l.restored[route])
		delete(l.restored, route)
	}
	l.accrueRunTime(now)
	r := &Run{stats: s, index: len(s.running), start: now, deadline: deadline}
	s.running = append(s.running, r)
	s.deadlines = append(s.deadlines, l.sinceOrigin(deadline))
	return r
}

// EndRun notes that a run has ended; a good one succeeded, and so has made all of its calls.
func (l *Learner) EndRun(now time.Time, r *Run, good bool) {
	l.removeRun(now, r)
	r.stats.all.add(r.calls)
	if good {
		r.stats.succeeded.add(r.calls)
	}
}

// DiscardRun removes a run that the server refused.
func (l *Learner) DiscardRun(now time.Time, r *Run) {
	l.removeRun(now, r)
}

// removeRun removes a run from those in progress.
func (l *Learner) removeRun(now time.Time, r *Run) {
	l.accrueRunTime(now)
	s := r.stats
	end := len(s.running) - 1
	last := s.running[end]
	s.running[r.index], s.deadlines[r.index] = last, s.deadlines[end]
	last.index = r.index
	s.running[end] = nil
	s.running, s.deadlines = s.running[:end], s.deadlines[:end]
}

// accrueRunTime adds up the time in progress of all runs until now.
func (l *Learner) accrueRunTime(now time.Time) {
	d := now.Sub(l.accruedUntil).Seconds()
	if l.accruedUntil.IsZero() || d < 0 {
		d = 0
	}
	l.accruedUntil = now
	for _, s := range l.byIndex {
		s.runSeconds += float64(len(s.running)) * d
	}
}

// endInterval begins a new interval, and drops those older than the window.
func (l *Learner) endInterval(now time.Time) {
	s := interval{end: now}
	for _, r := range l.byIndex {
		if r.runSeconds > 0 {
			s.runSeconds = append(s.runSeconds, routeSeconds{r, r.runSeconds})
		}
		r.runSeconds = 0
	}
	l.intervals = append(l.intervals, s)
	old := now.Add(-window)
	l.intervals = slices.DeleteFunc(l.intervals, func(s interval) bool { return s.end.Before(old) })
}

// sumRunSeconds sets windowSeconds of each route.
func (l *Learner) sumRunSeconds() {
	for _, s := range l.byIndex {
		s.windowSeconds = 0
	}
	for _, s := range l.intervals {
		for _, r := range s.runSeconds {
			r.stats.windowSeconds += r.seconds
		}
	}
}
