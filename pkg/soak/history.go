package soak

import (
	"sync"
	"time"
)

// attempt is one request of a caller.
type attempt struct {
	ID      string
	Route   string
	Service string // of the route
	Once    bool
	VM      string // where it was sent in
	Begun   time.Time
	Ended   time.Time
	Limit   time.Duration
	Status  int     // 0: the connection broke
	Own     bool    // a success that carries the backend server's mark and the whole body
	Probe   bool    // of the desired state, not of the service
	Key     keyLife // that it carries, as of when it was sent
}

// arrival is a request at a backend server.
type arrival struct {
	ID       string
	Service  string
	Instance string
	VM       string
	At       time.Time
	Ran      bool
	Team     string // as the server was told
}

// disturbance is a time in which something was done to a VM or to the store.
type disturbance struct {
	Kind    string
	VMs     []string // empty: all
	From    time.Time
	To      time.Time // zero while it lasts
	Planned bool
}

// leaving is an acknowledged leave of a backend server.
type leaving struct {
	Instance string
	At       time.Time
}

// history is what was seen in a run.
type history struct {
	mu           sync.Mutex
	attempts     []attempt
	arrivals     []arrival
	disturbances []*disturbance
	leaves       []leaving
	versions     []stateChange
	broken       []Finding
	keys         []keyLife // at the end
}

// stateChange is an acknowledged change of the desired state.
type stateChange struct {
	At             time.Time
	Added, Dropped string // paths
}

// Finding is a broken promise.
type Finding struct {
	Promise string
	Detail    string
}

func (h *history) addAttempt(a attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a)
}

func (h *history) addArrival(a arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals = append(h.arrivals, a)
}

func (h *history) addLeave(l leaving) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaves = append(h.leaves, l)
}

func (h *history) addVersion(v stateChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, v)
}

// found notes a promise that is seen broken at once.
func (h *history) found(promise, what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = append(h.broken, Finding{promise, what})
}

// begin notes the start of a disturbance; the returned function notes its end.
func (h *history) begin(kind string, planned bool, vms ...string) func() {
	d := &disturbance{Kind: kind, VMs: vms, From: time.Now(), Planned: planned}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbances = append(h.disturbances, d)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		d.To = time.Now()
	}
}

// touches tells whether the disturbance overlaps the span at the VM; an empty VM stands for any.
func (d *disturbance) touches(vm string, from, to time.Time) bool {
	if d.From.After(to) || (!d.To.IsZero() && d.To.Before(from)) {
		return false
	}
	if vm == "" || len(d.VMs) == 0 {
		return true
	}
	for _, x := range d.VMs {
		if x == vm {
			return true
		}
	}
	return false
}

// calm tells whether no disturbance that counts touched the VM in the span.
func (h *history) calm(vm string, from, to time.Time, counts func(*disturbance) bool) bool {
	for _, d := range h.disturbances {
		if counts(d) && d.touches(vm, from, to) {
			return false
		}
	}
	return true
}
