package mesh

import (
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/overload"
)

// loadReport is what a node tells all others of its traffic and its server. Rates are a second.
type loadReport struct {
	Host    string                 `json:"h"`
	Epoch   int64                  `json:"e"` // life of the process
	Seq     int64                  `json:"q"` // grows within one life
	Service string                 `json:"s"`
	Limit   float64                `json:"l"`           // slots that the gate fills
	Excess  float64                `json:"w,omitempty"` // slots by which more comes than the gate lets through
	Entries map[string]entryReport `json:"n,omitempty"`
	Runs    map[string]runReport   `json:"r,omitempty"` // started at the server, by route

	heard time.Time // at this node
}

// entryReport is how often requests of a route begin beside one server.
type entryReport struct {
	Fresh     float64 `json:"f,omitempty"`
	Returning float64 `json:"b,omitempty"`
}

// runReport is how often a route runs at a server, for how long it holds a slot, in seconds, and how many
// calls of each route one run makes.
type runReport struct {
	Rate  float64         `json:"r"`
	Hold  float64         `json:"h"`
	Calls callgraph.Rates `json:"c,omitempty"`
}

// newer tells whether r replaces old.
func (r *loadReport) newer(old *loadReport) bool {
	if old == nil || r.Epoch != old.Epoch {
		return old == nil || r.Epoch > old.Epoch
	}
	return r.Seq > old.Seq
}

// The time for which a report counts without a newer one: a node that is cut off is forgotten by then.
const (
	reportLifeLeast = 3 * time.Second
	// reportLifeTalks is the same in exchanges, which are rarer in a larger mesh: enough for news to reach all.
	reportLifeTalks = 6
)

// trafficStats counts this node's own traffic.
type trafficStats struct {
	mu      sync.Mutex
	entries map[string]*entryStats
	runs    map[string]*runStats
	sampled time.Time
	turned  overload.DecayingRate // calls that the gate refused for want of room
}

type entryStats struct {
	fresh, returning overload.DecayingRate
	since            int           // requests since the last sample
	longest          time.Duration // most time that a client of this route ever had left
	owedFresh        float64       // admissions not yet made, of each flow
	owedReturning    float64
}

type runStats struct {
	rate overload.DecayingRate
	held overload.DecayingRate // seconds held

	running  int           // in progress now
	since    time.Time     // when running last changed
	begun    int           // since the last sample
	ended    int           // as above
	good     int           // of those, with an answer of the server's work
	occupied time.Duration // time in progress of all runs together, since the last sample
}

// pass adds up the time in progress.
func (r *runStats) pass(now time.Time) {
	r.occupied += time.Duration(r.running) * now.Sub(r.since)
	r.since = now
}

func (s *trafficStats) init() {
	s.entries = make(map[string]*entryStats)
	s.runs = make(map[string]*runStats)
}

// begin counts a run that starts at the server on this VM.
func (s *trafficStats) begin(now time.Time, route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[route]
	if r == nil {
		r = &runStats{since: now}
		s.runs[route] = r
	}
	r.pass(now)
	r.running++
	r.begun++
}

// end counts the end of such a run; one that the server refused isn't counted as a run.
func (s *trafficStats) end(now time.Time, route string, held time.Duration, ran, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[route]
	r.pass(now)
	r.running--
	r.ended++
	if good {
		r.good++
	}
	if ran {
		r.rate.Add(now, 1)
		r.held.Add(now, held.Seconds())
	}
}

// turnedAway counts a call that the gate refused for want of room.
func (s *trafficStats) turnedAway(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turned.Add(now, 1)
}

// turnedAwayRate returns those calls a second.
func (s *trafficStats) turnedAwayRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turned.PerSecond(now)
}

// sample returns what was in progress since the last sample, on average, and the calls a second of the
// inner routes. It isn't fair if many runs failed: those end before they have made all of their calls.
func (s *trafficStats) sample(now time.Time, inner func(route string) bool) (out callgraph.Sample, fair bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	span := now.Sub(s.sampled).Seconds()
	s.sampled = now
	ended, good := 0, 0
	out = callgraph.Sample{Busy: callgraph.Rates{}, Begun: callgraph.Rates{}, Ended: callgraph.Rates{}, Calls: callgraph.Rates{}}
	for route, r := range s.runs {
		r.pass(now)
		if span > 0 && r.occupied > 0 {
			out.Busy[route] = r.occupied.Seconds() / span
			out.Begun[route] = float64(r.begun) / span
			out.Ended[route] = float64(r.ended) / span
		}
		ended += r.ended
		good += r.good
		r.occupied, r.begun, r.ended, r.good = 0, 0, 0, 0
	}
	for route, e := range s.entries {
		if span > 0 && e.since > 0 && inner(route) {
			out.Calls[route] = float64(e.since) / span
		}
		e.since = 0
	}
	return out, float64(good) >= fairShare*float64(ended)
}

// fairShare of the runs must have succeeded for a sample to be learned from.
const fairShare = 0.9

// returningShare of the longest time that clients of a route have is the time left below which an attempt
// is one of a client that was refused before: a first attempt brings the whole time.
const returningShare = 0.995

// admit counts a request and decides whether it is taken in; the shares are those of its kind.
func (s *trafficStats) admit(now time.Time, route string, left time.Duration, share overload.Share) (ok, returning bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[route]
	if e == nil {
		e = &entryStats{owedFresh: 1, owedReturning: 1}
		s.entries[route] = e
	}
	e.since++
	e.longest = max(e.longest, left)
	returning = float64(left) < returningShare*float64(e.longest)
	owed, part := &e.owedFresh, share.Fresh
	if returning {
		owed, part = &e.owedReturning, share.Returning
		e.returning.Add(now, 1)
	} else {
		e.fresh.Add(now, 1)
	}
	*owed = min(*owed+part, 2)
	if *owed < 1 {
		return false, returning
	}
	*owed--
	return true, returning
}

// leastReported is the rate a second below which a route isn't reported: it takes no part worth planning for.
const leastReported = 0.3

// report returns the counts as rates.
func (s *trafficStats) report(now time.Time) loadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := loadReport{Entries: map[string]entryReport{}, Runs: map[string]runReport{}}
	for route, e := range s.entries {
		f, b := e.fresh.PerSecond(now), e.returning.PerSecond(now)
		if f+b > leastReported {
			r.Entries[route] = entryReport{Fresh: round(f), Returning: round(b)}
		}
	}
	for route, x := range s.runs {
		rate, held := x.rate.PerSecond(now), x.held.PerSecond(now)
		if rate > leastReported {
			r.Runs[route] = runReport{Rate: round(rate), Hold: round(held / rate)}
		}
	}
	return r
}

// round keeps four decimals, so that messages stay short.
func round(v float64) float64 { return float64(int64(v*1e4+0.5)) / 1e4 }
