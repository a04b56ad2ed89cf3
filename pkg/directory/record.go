package directory

import (
	"fmt"
	"strconv"
	"time"
)

// Phase is where a backend server stands in its life.
type Phase uint8

// The phases, in the order in which a server goes through them.
const (
	Absent   Phase = iota // no server is known beside the node
	Serving               // takes work
	Draining              // takes no new work
	Gone                  // has said that it ends
)

// String names the phase for logs.
func (p Phase) String() string { return [...]string{"absent", "serving", "draining", "gone"}[p&3] }

// Record is what a node says of the backend server beside it.
type Record struct {
	Host            string `json:"h"`           // IP number of the VM
	Generation      int64  `json:"g"`           // grows with every change
	Instance        string `json:"i,omitempty"` // identity of this start of the server
	Service         string `json:"s,omitempty"`
	Zone            string `json:"z,omitempty"`
	Release         string `json:"r,omitempty"` // version of the server's software
	Slots           int    `json:"n,omitempty"` // requests that it works on at once
	Phase           Phase  `json:"p,omitempty"`
	StartedMS       int64  `json:"b,omitempty"` // when this life of the server began, as it says, in Unix milliseconds; 0: it doesn't
	FirstGeneration int64  `json:"f,omitempty"` // the generation with which this life began
}

// Lifetime is one life of a backend server. It may start again under the same instance, and is another one then.
type Lifetime struct {
	Instance  string
	StartedMS int64 // Unix milliseconds; 0: not said
}

// Lifetime returns which life of its server the record speaks of.
func (r Record) Lifetime() Lifetime { return Lifetime{r.Instance, r.StartedMS} }

// Lifetime returns which life of the server speaks.
func (r Registration) Lifetime() Lifetime { return Lifetime{r.Instance, r.StartedMS} }

// phase returns where the server says that it stands.
func (r Registration) phase() Phase {
	if r.Draining {
		return Draining
	}
	return Serving
}

// LifetimeID names the life for other nodes, and differs from that of any other life at this host, whatever the server says of its birth.
func (r Record) LifetimeID() string {
	if r.Instance == "" {
		return ""
	}
	return r.Instance + "/" + strconv.FormatInt(r.FirstGeneration, 10)
}

// Registration is a heartbeat of a backend server, as its node heard it.
type Registration struct {
	Instance   string
	Address    string // IP:port
	Service    string
	Zone       string
	Release    string
	Slots      int
	Draining   bool
	CallSeq    int64         // grows with every call of the server, so that a late one can be told
	StartedMS  int64         // Unix milliseconds of its start; 0: not said
	WarmupLeft time.Duration // how much longer the server is slow after its start
}

// newer tells whether r replaces old.
func (r Record) newer(old Record) bool {
	if r.Generation != old.Generation {
		return r.Generation > old.Generation
	}
	return r.Lifetime() == old.Lifetime() && r.Phase > old.Phase
}

// RecordError reports a record that no node writes.
type RecordError struct {
	Field string
	Value string
}

// Error names the field and its value.
func (e *RecordError) Error() string { return fmt.Sprintf("record: %s is %q", e.Field, e.Value) }

// Check tells whether a node may have written the record; the error is a *RecordError.
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
