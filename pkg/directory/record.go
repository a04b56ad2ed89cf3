package directory

import (
	"fmt"
	"strconv"
	"time"
)

// Phase is a stage in the lifetime of a backend server.
type Phase uint8

// The phases, in the order in which a server goes through them.
const (
	Absent   Phase = iota // no local backend server is known
	Serving               // accepts requests
	Draining              // accepts no new requests
	Gone                  // has reported its end
)

// String names the phase for logs.
func (p Phase) String() string { return [...]string{"absent", "serving", "draining", "gone"}[p&3] }

// Record describes the local backend server of a node.
type Record struct {
	Host            string `json:"h"`           // IP address of the VM
	Generation      int64  `json:"g"`           // increases with every change
	Instance        string `json:"i,omitempty"` // instance ID that the server reports
	Service         string `json:"s,omitempty"`
	Zone            string `json:"z,omitempty"`
	Release         string `json:"r,omitempty"` // version of the server's software
	Slots           int    `json:"n,omitempty"` // requests that it runs concurrently
	Phase           Phase  `json:"p,omitempty"`
	StartedMS       int64  `json:"b,omitempty"` // start time of this lifetime, in Unix milliseconds; 0: not reported
	FirstGeneration int64  `json:"f,omitempty"` // the generation at which this lifetime began
}

// Lifetime identifies one run of a backend server's process; a restart under the same instance ID is another lifetime.
type Lifetime struct {
	Instance  string
	StartedMS int64 // Unix milliseconds; 0: not reported
}

// SameAs reports whether both may be the same lifetime: the instance IDs are equal, and so are the start times as far
// as both are reported.
func (l Lifetime) SameAs(other Lifetime) bool {
	if l.Instance != other.Instance {
		return false
	}
	return l.StartedMS == other.StartedMS || l.StartedMS == 0 || other.StartedMS == 0
}

// MoreKnown returns which of two names of the same lifetime has a start time.
func (l Lifetime) MoreKnown(other Lifetime) Lifetime {
	if l.StartedMS > 0 {
		return l
	}
	return other
}

// Lifetime returns the server's lifetime that the record describes.
func (r Record) Lifetime() Lifetime { return Lifetime{r.Instance, r.StartedMS} }

// Lifetime returns the server's lifetime that sent the heartbeat.
func (r Registration) Lifetime() Lifetime { return Lifetime{r.Instance, r.StartedMS} }

// phase returns Draining or Serving, as the server reports.
func (r Registration) phase() Phase {
	if r.Draining {
		return Draining
	}
	return Serving
}

// LifetimeID returns an ID of the lifetime that is unique on this host whether or not the server reports a start time, or "" without a
// server.
func (r Record) LifetimeID() string {
	if r.Instance == "" {
		return ""
	}
	return r.Instance + "/" + strconv.FormatInt(r.FirstGeneration, 10)
}

// Registration is a heartbeat that a backend server sends to its node.
type Registration struct {
	Instance     string
	Address      string // IP:port
	Service      string
	Zone         string
	Release      string
	Slots        int
	Draining     bool
	HeartbeatSeq int64         // increases with every call of the server, so that late calls are recognized
	StartedMS    int64         // start time in Unix milliseconds; 0: not reported
	WarmupLeft   time.Duration // remaining time in which the server is slow after its start
}

// supersedes reports whether r replaces old: a higher generation wins, and at the same generation the later phase of what may be the
// same lifetime.
func (r Record) supersedes(old Record) bool {
	if r.Generation != old.Generation {
		return r.Generation > old.Generation
	}
	return r.Lifetime().SameAs(old.Lifetime()) && r.Phase > old.Phase
}

// isLaterPhaseOf reports whether r is a later phase of the lifetime that other describes.
func (r Record) isLaterPhaseOf(other Record) bool {
	if r.Phase <= other.Phase || !r.Lifetime().SameAs(other.Lifetime()) {
		return false
	}
	return r.FirstGeneration == other.FirstGeneration || (r.StartedMS > 0 && r.StartedMS == other.StartedMS)
}

// RecordError reports a record that no node would write.
type RecordError struct {
	Field string
	Value string
}

// Error names the field and its value.
func (e *RecordError) Error() string { return fmt.Sprintf("record: %s is %q", e.Field, e.Value) }

// Check returns a *RecordError for a record that no node would write.
func (r Record) Check() error {
	switch {
	case r.Host == "":
		return &RecordError{"host", ""}
	case r.Phase > Gone:
		return &RecordError{"phase", strconv.Itoa(int(r.Phase))}
	case r.Generation < 0:
		return &RecordError{"generation", strconv.FormatInt(r.Generation, 10)}
	case r.Phase != Absent && r.Instance == "":
		return &RecordError{"instance", ""}
	case r.Phase == Serving && (r.Service == "" || r.Slots < 0):
		return &RecordError{"service or slots", fmt.Sprintf("%s, %d", r.Service, r.Slots)}
	default:
		return nil
	}
}
