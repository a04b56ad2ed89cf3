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
	route string
	count float64
}

// add attributes a share of a call to the run.
func (r *Run) add(route string, share float64) {
	for i := range r.calls {
		if r.calls[i].route == route {
			r.calls[i].count += share
			return
		}
	}
	r.calls = append(r.calls, attributedCalls{route, share})
}

// interval is the time between two updates, with the seconds in progress of each route's runs.
type interval struct {
	end        time.Time
	runSeconds map[*routeStats]float64
}

// BeginRun notes that a run begins, with the time limit given to the server.
func (l *Learner) BeginRun(now time.Time, route string, deadline time.Time) *Run {
	if l.routes == nil {
		l.routes = map[string]*routeStats{}
	}
	s := l.routes[route]
	if s == nil {
		s = &routeStats{route: route}
		l.routes[route] = s
		s.restore(l.restored[route])
		delete(l.restored, route)
	}
	l.accrueRunTime(now)
	r := &Run{stats: s, index: len(s.running), start: now, deadline: deadline}
	s.running = append(s.running, r)
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
	all := r.stats.running
	last := all[len(all)-1]
	all[r.index], last.index = last, r.index
	r.stats.running = all[:len(all)-1]
}

// accrueRunTime adds up the time in progress of all runs until now.
func (l *Learner) accrueRunTime(now time.Time) {
	d := now.Sub(l.accruedUntil).Seconds()
	if l.accruedUntil.IsZero() || d < 0 {
		d = 0
	}
	l.accruedUntil = now
	for _, s := range l.routes {
		s.runSeconds += float64(len(s.running)) * d
	}
}

// endInterval begins a new interval, and drops those older than the window.
func (l *Learner) endInterval(now time.Time) {
	s := interval{end: now, runSeconds: map[*routeStats]float64{}}
	for _, r := range l.routes {
		s.runSeconds[r], r.runSeconds = r.runSeconds, 0
	}
	l.intervals = append(l.intervals, s)
	old := now.Add(-window)
	l.intervals = slices.DeleteFunc(l.intervals, func(s interval) bool { return s.end.Before(old) })
}

// runSecondsInWindow returns the seconds in progress of each route's runs within the window.
func (l *Learner) runSecondsInWindow() map[*routeStats]float64 {
	inTime := map[*routeStats]float64{}
	for _, s := range l.intervals {
		for r, t := range s.runSeconds {
			inTime[r] += t
		}
	}
	return inTime
}
