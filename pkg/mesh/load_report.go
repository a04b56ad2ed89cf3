package mesh

import (
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/overload"
)

// loadReport is what a node tells all others of its traffic and its server. Rates are a second.
type loadReport struct {
	Host    string                 `json:"h"`
	Epoch   int64                  `json:"e"` // life of the process
	Seq     int64                  `json:"q"` // grows within one life
	Service string                 `json:"s"`
	Limit   float64                `json:"l"`           // slots that the gate fills
	Shed    float64                `json:"g,omitempty"` // share of requests that the server itself refused
	Entries map[string]entryReport `json:"n,omitempty"`
	Runs    map[string]runReport   `json:"r,omitempty"` // started at the server, by route

	heard time.Time // at this node
}

// entryReport is how often requests of a route begin beside one server.
type entryReport struct {
	Fresh     float64 `json:"f,omitempty"`
	Returning float64 `json:"b,omitempty"`
}

// runReport is how often a route runs at a server, and for how long it holds a slot, in seconds.
type runReport struct {
	Rate float64 `json:"r"`
	Hold float64 `json:"h"`
}

// newer tells whether r replaces old.
func (r *loadReport) newer(old *loadReport) bool {
	if old == nil || r.Epoch != old.Epoch {
		return old == nil || r.Epoch > old.Epoch
	}
	return r.Seq > old.Seq
}

// reportLife is how long a report counts without a newer one: a node that is cut off is forgotten by then.
const reportLife = 3 * time.Second

// trafficStats counts this node's own traffic.
type trafficStats struct {
	mu      sync.Mutex
	entries map[string]*entryStats
	runs    map[string]*runStats
}

type entryStats struct {
	fresh, returning overload.DecayingRate
	longest          time.Duration // most time that a client of this route ever had left
	owedFresh        float64       // admissions not yet made, of each flow
	owedReturning    float64
}

type runStats struct {
	rate overload.DecayingRate
	held overload.DecayingRate // seconds held
}

func (s *trafficStats) init() {
	s.entries = make(map[string]*entryStats)
	s.runs = make(map[string]*runStats)
}

// run counts a run at the server on this VM that has ended.
func (s *trafficStats) run(now time.Time, route string, held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[route]
	if r == nil {
		r = &runStats{}
		s.runs[route] = r
	}
	r.rate.Add(now, 1)
	r.held.Add(now, held.Seconds())
}

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

// leastReported is the rate below which a route isn't reported.
const leastReported = 0.05

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
