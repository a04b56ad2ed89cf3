package soak

import (
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/platform/standin"
)

// internalCall is a call of a backend server, which begins at the node of its VM.
type internalCall struct {
	ID    string
	VM    string
	Begun time.Time
}

// passedNotice is an answer by which a backend server says something of itself, passed on by the node of the VM where the
// request began.
type passedNotice struct {
	VM       string
	Lifetime string // of the server
	At       time.Time
	Limited  bool
	Leaving  bool
}

// advertisedLimit is the rate limit in a server's answers from a time on.
type advertisedLimit struct {
	Lifetime  string
	At        time.Time
	PerSecond float64
	Limited   bool // false: none from then on
}

// nodeOutage is a time in which a node's process was stopped, restarted or paused.
type nodeOutage struct {
	VM       string
	From, To time.Time // To is zero while it lasts
}

func (h *history) addCall(c internalCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

func (h *history) addLimit(l advertisedLimit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = append(h.limits, l)
}

// addNotice records what the header of an answer that a VM's node passed on says of the server, if anything.
func (h *history) addNotice(vm string, header http.Header) {
	n := passedNotice{
		VM: vm, Lifetime: header.Get(lifetimeHeader), At: time.Now(),
		Limited: header.Get(standin.Headers.Advertised.RateLimit) != "", Leaving: header.Get(standin.Headers.Advertised.Leaving) != "",
	}
	if !n.Limited && !n.Leaving {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notices = append(h.notices, n)
}

// beginOutage records the start of an outage of a VM's node; the returned function records its end.
func (h *history) beginOutage(vm string) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.outages)
	h.outages = append(h.outages, nodeOutage{VM: vm, From: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.outages[i].To = time.Now()
	}
}
