package soak

import (
	"sync"
	"time"
)

// attempt is one request of a caller and its outcome.
type attempt struct {
	ID        string
	Route     string
	Service   string // of the route
	Once      bool
	VM        string // entry VM
	Begun     time.Time
	Ended     time.Time
	Limit     time.Duration
	Sent      time.Time // when its last byte was written; zero: it wasn't
	Kept      bool      // it was sent on a connection that had carried others
	Closed    bool      // the node closed the connection before the whole response
	Status    int       // 0: no whole response
	OwnAnswer bool      // a success that carries the backend server's mark and the whole body
	Probe     bool      // of the desired state, not of the service
	Key       keyRecord // carried by the request, as of when it was sent
}

// arrival is a request at a backend server.
type arrival struct {
	ID       string
	Service  string
	Instance string
	Lifetime string // of the server, also where it keeps its instance
	VM       string
	At       time.Time
	Ran      bool
	Team     string // from the request's header
}

// disturbance is a period in which a fault or planned work affected VMs or the store.
type disturbance struct {
	Kind    string
	VMs     []string // empty: all
	From    time.Time
	To      time.Time // zero while it lasts
	Planned bool
}

// acknowledgedLeave is the time at which a backend server's leave was acknowledged.
type acknowledgedLeave struct {
	Instance string
	At       time.Time
	VM       string // whose node may forget the leave with all others, and isn't bound for contactTime after an outage; empty: bound always
}

// history records what callers and backend servers saw in a run.
type history struct {
	mu           sync.Mutex
	attempts     []attempt
	arrivals     []arrival
	disturbances []*disturbance
	leaves       []acknowledgedLeave
	stateChanges []stateChange
	findings     []Finding
	keys         []keyRecord // set at the end of the run
	calls        []internalCall
	notices      []passedNotice
	limits       []advertisedLimit
	outages      []nodeOutage
}

// stateChange is an acknowledged change of the desired state.
type stateChange struct {
	At             time.Time
	Added, Dropped string // paths
}

// Finding is a broken promise.
type Finding struct {
	Promise string
	Detail  string
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

func (h *history) addLeave(l acknowledgedLeave) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaves = append(h.leaves, l)
}

func (h *history) addStateChange(v stateChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stateChanges = append(h.stateChanges, v)
}

// addFinding records a violation that is detected during the run.
func (h *history) addFinding(promise, what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.findings = append(h.findings, Finding{promise, what})
}

// beginDisturbance records the start of a disturbance at vms, or at all if none are named; the returned function records its end.
func (h *history) beginDisturbance(kind string, planned bool, vms ...string) func() {
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

// overlaps reports whether the disturbance affected the VM between from and to; an empty vm means any.
func (d *disturbance) overlaps(vm string, from, to time.Time) bool {
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

// undisturbed reports whether no disturbance selected by counts affected the VM between from and to.
func (h *history) undisturbed(vm string, from, to time.Time, counts func(*disturbance) bool) bool {
	for _, d := range h.disturbances {
		if counts(d) && d.overlaps(vm, from, to) {
			return false
		}
	}
	return true
}
