package budget

import "time"

// Parameters of the usual times.
const (
	// timeWeight is the weight of one observation in the usual time: about the last 20 count.
	timeWeight = 0.05
	// maxTimeFactor bounds one observation by a multiple of the usual time: single work items take many times as long.
	maxTimeFactor = 3
	// minObservations is the number of observations from which a time is used.
	minObservations = 10
	// shortQuantile is the share of the observations that are shorter than the short time.
	shortQuantile = 0.1
	// longestBlock is the number of observations in each of the two blocks of which the longest time is known.
	longestBlock = 200
)

// Times holds the usual times by route: of whole calls where they begin, retries and waits included, and of runs at the local
// server. Its zero value knows none. It isn't safe for concurrent use.
type Times struct {
	calls, runs map[string]*usual
}

// usual is the smoothed time of one route.
type usual struct {
	mean  time.Duration
	short time.Duration // shortQuantile of the times
	n     int           // observations, up to minObservations

	longest [2]time.Duration // of the observations in the current block, and in the one before it
	inBlock int              // observations in the current block
}

// ObserveCall records the time from the beginning of a successful call or request to its answer.
func (t *Times) ObserveCall(route string, took time.Duration) { observe(&t.calls, route, took) }

// ObserveStream records the time from the beginning of a request to the end of its streamed answer, which ObserveCall has recorded
// up to the beginning of the answer. It counts for LongestCall alone: how fast a client reads is no property of the route.
func (t *Times) ObserveStream(route string, took time.Duration) {
	if u := t.calls[route]; u != nil {
		u.longest[0] = max(u.longest[0], took)
	}
}

// ObserveRun records the time of a successful run at the local server, its calls included.
func (t *Times) ObserveRun(route string, took time.Duration) { observe(&t.runs, route, took) }

// Call returns the usual time of a call of the route, or 0 if it isn't known.
func (t *Times) Call(route string) time.Duration { return t.calls[route].known() }

// Run returns the usual time of a run of the route at the local server, or 0 if it isn't known.
func (t *Times) Run(route string) time.Duration { return t.runs[route].known() }

// Short returns the time than which few requests of the route were shorter, or 0 if it isn't known.
func (t *Times) Short(route string) time.Duration {
	if t.calls[route].known() == 0 {
		return 0
	}
	return t.calls[route].short
}

// LongestCall returns the longest time of the last longestBlock or more calls of the route, or 0 if there was none.
func (t *Times) LongestCall(route string) time.Duration { return t.calls[route].recentLongest() }

// LongestRun returns the longest time of the last longestBlock or more runs of the route at the local server, or 0 if there was none.
func (t *Times) LongestRun(route string) time.Duration { return t.runs[route].recentLongest() }

// observe adds an observation to the time of a route.
func observe(m *map[string]*usual, route string, took time.Duration) {
	if took <= 0 {
		return
	}
	u := (*m)[route]
	if u == nil {
		if *m == nil {
			*m = map[string]*usual{}
		}
		u = &usual{}
		(*m)[route] = u
	}
	u.add(took)
}

// add adds an observation; the first ones count equally.
func (u *usual) add(took time.Duration) {
	if u.n == 0 {
		u.mean, u.short = took, took
	}
	u.n = min(u.n+1, int(1/timeWeight))
	u.mean += (min(took, maxTimeFactor*u.mean) - u.mean) / time.Duration(u.n)
	step := float64(u.mean) / float64(u.n)
	if took > u.short {
		u.short += time.Duration(step * shortQuantile)
	} else {
		u.short -= min(time.Duration(step*(1-shortQuantile)), u.short)
	}
	if u.inBlock == longestBlock {
		u.longest, u.inBlock = [2]time.Duration{0, u.longest[0]}, 0
	}
	u.longest[0] = max(u.longest[0], took)
	u.inBlock++
}

// recentLongest returns the longest time in both blocks.
func (u *usual) recentLongest() time.Duration {
	if u == nil {
		return 0
	}
	return max(u.longest[0], u.longest[1])
}

// known returns the mean if there are enough observations.
func (u *usual) known() time.Duration {
	if u == nil || u.n < minObservations {
		return 0
	}
	return u.mean
}
