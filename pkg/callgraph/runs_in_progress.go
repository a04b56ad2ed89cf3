package callgraph

import (
	"slices"
	"time"
)

// window is the time over which the calls a second of the runs of each route are worked out: short, since they
// change with the speed of the services below.
const window = 3 * time.Second

// Run is one run in progress.
type Run struct {
	stats    *routeStats
	place    int // among those of its route
	begun    time.Time
	deadline time.Time
	calls    []callShare
}

// callShare is the part of a route's calls that is taken to be a run's.
type callShare struct {
	route string
	made  float64
}

// add counts a share of a call.
func (r *Run) add(route string, share float64) {
	for i := range r.calls {
		if r.calls[i].route == route {
			r.calls[i].made += share
			return
		}
	}
	r.calls = append(r.calls, callShare{route, share})
}

// stretch is a short time, with the seconds in progress of each route.
type stretch struct {
	end    time.Time
	inTime map[*routeStats]float64
}

// BeginRun notes that a run begins, with the time limit that the server was given.
func (l *Learner) BeginRun(now time.Time, route string, deadline time.Time) *Run {
	if l.routes == nil {
		l.routes = map[string]*routeStats{}
	}
	s := l.routes[route]
	if s == nil {
		s = &routeStats{}
		l.routes[route] = s
		s.remember(l.recall[route])
		delete(l.recall, route)
	}
	l.pass(now)
	r := &Run{stats: s, place: len(s.running), begun: now, deadline: deadline}
	s.running = append(s.running, r)
	return r
}

// EndRun notes that a run has ended; a good one has made all of its calls.
func (l *Learner) EndRun(now time.Time, r *Run, good bool) {
	l.leave(now, r)
	r.stats.all.add(r.calls)
	if good {
		r.stats.good.add(r.calls)
	}
}

// DiscardRun notes that the server refused what was taken for a run.
func (l *Learner) DiscardRun(now time.Time, r *Run) {
	l.leave(now, r)
}

// leave takes a run out of those in progress.
func (l *Learner) leave(now time.Time, r *Run) {
	l.pass(now)
	all := r.stats.running
	last := all[len(all)-1]
	all[r.place], last.place = last, r.place
	r.stats.running = all[:len(all)-1]
}

// pass adds up the time in progress.
func (l *Learner) pass(now time.Time) {
	d := now.Sub(l.passed).Seconds()
	if l.passed.IsZero() || d < 0 {
		d = 0
	}
	l.passed = now
	for _, s := range l.routes {
		s.inTime += float64(len(s.running)) * d
	}
}

// endStretch begins a new stretch, and drops those that are older than the window.
func (l *Learner) endStretch(now time.Time) {
	s := stretch{end: now, inTime: map[*routeStats]float64{}}
	for _, r := range l.routes {
		s.inTime[r], r.inTime = r.inTime, 0
	}
	l.seen = append(l.seen, s)
	old := now.Add(-window)
	l.seen = slices.DeleteFunc(l.seen, func(s stretch) bool { return s.end.Before(old) })
}

// timeInProgress returns the seconds in progress of each route within the window.
func (l *Learner) timeInProgress() map[*routeStats]float64 {
	inTime := map[*routeStats]float64{}
	for _, s := range l.seen {
		for r, t := range s.inTime {
			inTime[r] += t
		}
	}
	return inTime
}
