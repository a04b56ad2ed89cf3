package callgraph

import (
	"math"
	"slices"
	"time"
)

// Rates are numbers by route: calls of one run, or counts a second.
type Rates map[string]float64

// The constants of learning.
const (
	// halfLife is the time in which half of the evidence is forgotten: long enough to learn rare kinds, short
	// enough to follow a new version of a service.
	halfLife = 30 * time.Second
	// sameEnd is how far the time limit of a call may be from that of its run to be taken for the same: both are
	// told in milliseconds, and a call takes a moment to come.
	sameEnd = 2 * time.Millisecond
	// chanceEnd is the chance that a call has the same time limit as a run that didn't make it.
	chanceEnd = 0.003
	// priorEnds is the weight, in calls, of the guess that half of the calls of a route end with their runs.
	priorEnds = 2.0
	// window is the time over which the calls a second of the runs of each route are worked out: short, since they
	// change with the speed of the services below.
	window = 3 * time.Second
	// mostRecent bounds the calls that are kept for that, of one route.
	mostRecent = 3000
	// firstHalfLife is what halfLife is at the start, and agedHalfLife of the time since then later, so that first
	// guesses are soon forgotten.
	firstHalfLife = 500 * time.Millisecond
	agedHalfLife  = 0.2
	// priorTime is the time in progress, in seconds, for which the average of all runs counts where little is known.
	priorTime = 0.05
	// chanceCalls times the root of the recent calls and of the route's runs in progress is what it may seem to have
	// made by chance, where no time limits tell.
	chanceCalls = 0.7
	// leastRate keeps a route in play whose runs make no calls by what was seen, as a share of the average. It takes
	// some seconds to grow from there: until then a change of speed below isn't taken for a new caller.
	leastRate = 1e-6
	// leastRuns is the count of runs from which those that ended well are believed alone: one that failed
	// may not have made all of its calls.
	leastRuns = 5.0
	// StrayCalls is the count of calls by one run below which they are taken for chance.
	StrayCalls = 0.02
	// tracePart of the calls of the route that makes most of them is what another one makes at least to be
	// believed: less than that can't be told from noise within a day's load.
	tracePart = 0.2
)

// Learner learns which calls the runs of each route make at one server. Nothing tells which run made a call, so
// each call is shared out over the runs in progress: one whose time limit is earlier can't have made it, one
// with the same time limit most likely has, and beyond that it goes by the calls a second of the runs of each route,
// which are those under which the calls of the last seconds are the most likely (expectation and maximization
// in turn). What counts in the end is the calls of whole runs that ended well, so that neither slow
// services below nor failed calls change it. Its zero value knows nothing; it isn't safe for concurrent use.
type Learner struct {
	routes map[string]*routeStats
	calls  map[string]*callStats
	recall map[string]Rates // of routes that haven't run yet
	seen   []stretch        // of the last seconds
	passed time.Time        // until when the time in progress is added up
	faded  time.Time
	first  time.Time // look
}

// stretch is a short time, with the seconds in progress of each route.
type stretch struct {
	end    time.Time
	inTime map[*routeStats]float64
}

// Run is one run in progress.
type Run struct {
	stats    *routeStats
	place    int // among those of its route
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

func (s *runSums) fade(keep float64) {
	s.runs *= keep
	for c := range s.calls {
		s.calls[c] *= keep
	}
}

// callStats is what is known of the calls of one route.
type callStats struct {
	by     map[*routeStats]*callerStats
	recent []recentCall
}

// callerStats are the calls that runs of one route are taken to have made.
type callerStats struct {
	rate    float64 // a second of one run in progress
	sum     float64 // made
	sameEnd float64 // of those, with the run's time limit
}

// recentCall is a call with the runs that may have made it, by route.
type recentCall struct {
	at   time.Time
	runs map[*routeStats]likely
}

// likely is how many runs of a route may have made a call, weighed by their time limits.
type likely struct {
	sameEnd float64 // those with the call's time limit
	other   float64
}

func (n likely) sum() float64 { return n.sameEnd + n.other }

// Begin notes that a run begins, with the time limit that the server was given.
func (l *Learner) Begin(now time.Time, route string, deadline time.Time) *Run {
	if l.routes == nil {
		l.routes, l.calls = map[string]*routeStats{}, map[string]*callStats{}
	}
	s := l.routes[route]
	if s == nil {
		s = &routeStats{}
		l.routes[route] = s
		s.remember(l.recall[route])
		delete(l.recall, route)
	}
	l.pass(now)
	r := &Run{stats: s, place: len(s.running), deadline: deadline}
	s.running = append(s.running, r)
	return r
}

// End notes that a run has ended; a good one has made all of its calls.
func (l *Learner) End(now time.Time, r *Run, good bool) {
	l.leave(now, r)
	r.stats.all.add(r.calls)
	if good {
		r.stats.good.add(r.calls)
	}
}

// leave takes a run out of those in progress.
func (l *Learner) leave(now time.Time, r *Run) {
	l.pass(now)
	all := r.stats.running
	last := all[len(all)-1]
	all[r.place], last.place = last, r.place
	r.stats.running = all[:len(all)-1]
}

// recallRuns is how many runs earlier knowledge counts as.
const recallRuns = 30

// Recall takes what was known before this node started: the calls of one run of each route.
func (l *Learner) Recall(known map[string]Rates) {
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

func (s *routeStats) remember(calls Rates) {
	if calls != nil {
		s.recalled, s.recalledRuns = calls, recallRuns
	}
}

// Known returns the calls of one run of each route, as far as they were seen in enough runs.
func (l *Learner) Known() map[string]Rates {
	known := map[string]Rates{}
	for route, s := range l.routes {
		if s.good.runs >= recallRuns {
			known[route] = l.Calls(route)
		}
	}
	return known
}

// Drop notes that the server refused what was taken for a run.
func (l *Learner) Drop(now time.Time, r *Run) {
	l.leave(now, r)
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

// Call notes that the server makes a call, with its time limit.
func (l *Learner) Call(now time.Time, route string, deadline time.Time) {
	c := l.calls[route]
	if c == nil {
		c = &callStats{by: map[*routeStats]*callerStats{}}
		l.calls[route] = c
	}
	call := recentCall{at: now, runs: make(map[*routeStats]likely, len(l.routes))}
	sum := 0.0
	for _, s := range l.routes {
		k := c.caller(s)
		if runs := k.likely(s.running, deadline); runs.sum() > 0 {
			call.runs[s] = runs
			sum += runs.sum() * k.rate
		}
	}
	if sum <= 0 {
		return // a stray one, or no run lasts as long as the call
	}
	for s, runs := range call.runs {
		c.caller(s).take(s.running, route, deadline, runs, sum)
	}
	if len(c.recent) < mostRecent {
		c.recent = append(c.recent, call)
	}
}

// endOf says how the time limit of a run stands to that of a call.
type endOf uint8

const (
	earlier  endOf = iota // a call ends with its run at the latest
	together              // most likely the run's call
	later
)

func (r *Run) ends(deadline time.Time) endOf {
	switch d := r.deadline.Sub(deadline); {
	case d < -sameEnd:
		return earlier
	case d <= sameEnd:
		return together
	default:
		return later
	}
}

// caller returns what is known of the calls of a route's runs.
func (c *callStats) caller(s *routeStats) *callerStats {
	k := c.by[s]
	if k == nil {
		k = &callerStats{rate: 1}
		c.by[s] = k
	}
	return k
}

// weights returns how much more likely it is that a run made a call if their time limits are the same, and if the
// run's is later, than that another one did.
func (k *callerStats) weights() (same, other float64) {
	ends := (k.sameEnd + priorEnds/2) / (k.sum + priorEnds)
	return ends / chanceEnd, (1 - ends) / (1 - chanceEnd)
}

// likely returns how many of the runs may have made the call.
func (k *callerStats) likely(runs []*Run, deadline time.Time) (n likely) {
	same, other := k.weights()
	for _, r := range runs {
		switch r.ends(deadline) {
		case together:
			n.sameEnd += same
		case later:
			n.other += other
		case earlier:
		}
	}
	return n
}

// take shares the part of a call that falls to a route's runs out to them; sum is of all routes.
func (k *callerStats) take(runs []*Run, route string, deadline time.Time, n likely, sum float64) {
	same, other := k.weights()
	rate := k.rate / sum
	for _, r := range runs {
		switch r.ends(deadline) {
		case together:
			r.add(route, same*rate)
		case later:
			r.add(route, other*rate)
		case earlier:
		}
	}
	k.sameEnd += n.sameEnd * rate
	k.sum += n.sum() * rate
}

// Look works out the calls a second of each route's runs from what was seen since the last look and before, and
// forgets what is old. It is to be called some times a second.
func (l *Learner) Look(now time.Time) {
	l.pass(now)
	s := stretch{end: now, inTime: map[*routeStats]float64{}}
	for _, r := range l.routes {
		s.inTime[r], r.inTime = r.inTime, 0
	}
	l.seen = append(l.seen, s)
	old := now.Add(-window)
	l.seen = slices.DeleteFunc(l.seen, func(s stretch) bool { return s.end.Before(old) })
	inTime := map[*routeStats]float64{}
	for _, s := range l.seen {
		for r, t := range s.inTime {
			inTime[r] += t
		}
	}
	for _, c := range l.calls {
		c.recent = slices.DeleteFunc(c.recent, func(r recentCall) bool { return r.at.Before(old) })
		c.improve(inTime)
	}
	l.fade(now)
}

// improve shares the recent calls out by the present rates, and takes the rates from that.
func (c *callStats) improve(inTime map[*routeStats]float64) {
	made := map[*routeStats]likely{}
	for _, r := range c.recent {
		sum := 0.0
		for s, w := range r.runs {
			sum += w.sum() * c.caller(s).rate
		}
		for s, w := range r.runs {
			m := made[s]
			m.sameEnd += w.sameEnd * c.caller(s).rate / sum
			m.other += w.other * c.caller(s).rate / sum
			made[s] = m
		}
	}
	all := priorTime
	for s := range c.by {
		all += inTime[s]
	}
	usual := float64(len(c.recent)) / all
	for s, k := range c.by {
		running := max(inTime[s]/window.Seconds(), 1)
		chance := chanceCalls * math.Sqrt(float64(len(c.recent))*running)
		rate := (made[s].sameEnd + max(made[s].other-chance, 0)) / (inTime[s] + priorTime)
		k.rate = max(rate, usual*leastRate, math.SmallestNonzeroFloat32)
	}
}

// fade forgets a part of all evidence, by the time since it was last called.
func (l *Learner) fade(now time.Time) {
	if l.faded.IsZero() {
		l.faded, l.first = now, now
	}
	life := min(max(firstHalfLife.Seconds(), agedHalfLife*now.Sub(l.first).Seconds()), halfLife.Seconds())
	keep := math.Exp2(-now.Sub(l.faded).Seconds() / life)
	slowly := math.Exp2(-now.Sub(l.faded).Seconds() / halfLife.Seconds())
	l.faded = now
	for route, s := range l.routes {
		s.good.fade(keep)
		s.all.fade(keep)
		s.recalledRuns *= slowly
		if s.all.runs < faded && len(s.running) == 0 {
			l.forget(route, s)
		}
	}
	for _, c := range l.calls {
		for _, k := range c.by {
			k.sameEnd *= keep
			k.sum *= keep
		}
	}
}

// faded is the count of runs below which a route is forgotten.
const faded = 1e-3

func (l *Learner) forget(route string, s *routeStats) {
	delete(l.routes, route)
	for _, seen := range l.seen {
		delete(seen.inTime, s)
	}
	for name, c := range l.calls {
		for _, r := range c.recent {
			delete(r.runs, s)
		}
		if delete(c.by, s); len(c.by) == 0 {
			delete(l.calls, name)
		}
	}
}

// Calls returns how many calls of each route one run of the route makes.
func (l *Learner) Calls(route string) Rates {
	s := l.routes[route]
	if s == nil {
		return nil
	}
	out := Rates{}
	for c, n := range s.perRun() {
		if n >= max(StrayCalls, tracePart*l.mostCalls(c)) {
			out[c] = n
		}
	}
	return out
}

// mostCalls returns the calls of the route that makes most of them in a run.
func (l *Learner) mostCalls(called string) float64 {
	most := 0.0
	for _, s := range l.routes {
		most = max(most, s.perRun()[called])
	}
	return most
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
