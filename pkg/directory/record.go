package directory

import "time"

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
	Host       string `json:"h"`           // IP number of the VM
	Generation int64  `json:"g"`           // grows with every change
	Instance   string `json:"i,omitempty"` // identity of this start of the server
	Service    string `json:"s,omitempty"`
	Zone       string `json:"z,omitempty"`
	Release    string `json:"r,omitempty"` // version of the server's software
	Slots      int    `json:"n,omitempty"` // requests that it works on at once
	Phase      Phase  `json:"p,omitempty"`
}

// Registration is a heartbeat of a backend server, as its node heard it.
type Registration struct {
	Instance string
	Address  string // IP:port
	Service  string
	Zone     string
	Release  string
	Slots    int
	Draining bool
	Call     int64         // grows with every call of the server, so that a late one can be told
	ColdLeft time.Duration // how much longer the server is slow after its start
}

// newer tells whether r replaces old.
func (r Record) newer(old Record) bool {
	if r.Generation != old.Generation {
		return r.Generation > old.Generation
	}
	return r.Instance == old.Instance && r.Phase > old.Phase
}
