package lab

import (
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Attempt is one try of a caller.
type Attempt struct {
	Request string
	Class   string
	Entry   string
	Start   time.Time
	End     time.Time
	Outcome wire.Outcome // empty where no answer came or it had none
	Reason  wire.Reason
	Status  int  // 0 where no answer came
	Served  bool // the whole and right answer came in time
	Wrong   bool // an answer came that isn't the request's own, or isn't whole
}

// Run is one start of a call at a backend server.
type Run struct {
	ID       string
	Parent   string // run that made the call; empty for a caller's
	Request  string
	Service  string
	Server   string
	Class    string
	Place    string // of the call among its parent's calls
	OnceOnly bool
	Arrived  time.Time
	Started  time.Time // zero if the call never got a slot
	Ended    time.Time
	Done     bool // the work was done to its end
	Cut      bool // the server stopped with the call in progress
}

// Demand is one caller's request with all of its attempts.
type Demand struct {
	ID     string
	Class  string
	At     time.Time
	Ended  time.Time
	Served bool
	Tries  int
}

// History is everything that callers and backend servers saw.
type History struct {
	mu       sync.Mutex
	attempts []Attempt
	runs     []*Run
	demands  []Demand
}

func (h *History) addAttempt(a Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a)
}

func (h *History) addDemand(d Demand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.demands = append(h.demands, d)
}

func (h *History) addRun(r Run) *Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &r
	h.runs = append(h.runs, p)
	return p
}

func (h *History) update(fn func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fn()
}

// Snapshot returns copies of all that was seen so far.
func (h *History) Snapshot() (attempts []Attempt, runs []Run, demands []Demand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	attempts = append(attempts, h.attempts...)
	demands = append(demands, h.demands...)
	for _, r := range h.runs {
		runs = append(runs, *r)
	}
	return attempts, runs, demands
}
