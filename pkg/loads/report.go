package loads

import (
	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// Report is what a node tells those of its availability zone of its traffic and its server. Rates are a second.
type Report struct {
	Host    string `json:"h"`
	Epoch   int64  `json:"e"` // life of the process
	Seq     int64  `json:"q"` // grows within one life
	Service string `json:"s"`
	// UsableSlots is the slots that the gate fills, less those by which more comes than it lets through.
	UsableSlots float64 `json:"l"`
	// Entries are the requests that begin beside the server, by Kind.
	Entries      map[string]Entry    `json:"n,omitempty"`
	Runs         map[string]RunStats `json:"r,omitempty"` // started at the server, by route
	NotListening bool                `json:"w,omitempty"` // the server has ended, and has no room until it is heard again
	Leaving      bool                `json:"x,omitempty"` // the node stops; told by all, since it may end before most have heard it
}

// Entry is how often requests of a route begin beside one server.
type Entry struct {
	Fresh     float64 `json:"f,omitempty"`
	Returning float64 `json:"b,omitempty"`
	// WithoutCaller counts those that came while no run was in progress that can have made them.
	WithoutCaller float64 `json:"a,omitempty"`
}

// Total returns all requests.
func (e Entry) Total() float64 { return e.Fresh + e.Returning }

// with returns the sums of both.
func (e Entry) with(o Entry) Entry {
	return Entry{Fresh: e.Fresh + o.Fresh, Returning: e.Returning + o.Returning, WithoutCaller: e.WithoutCaller + o.WithoutCaller}
}

// RunStats is how often a route runs at a server, for how long it holds a slot, in seconds, and how many
// calls of each route one run makes.
type RunStats struct {
	Rate        float64         `json:"r"`
	HoldSeconds float64         `json:"h"`
	CallsPerRun callgraph.Rates `json:"c,omitempty"`
}

// Supersedes tells whether r replaces old.
func (r *Report) Supersedes(old *Report) bool {
	if old == nil || r.Epoch != old.Epoch {
		return old == nil || r.Epoch > old.Epoch
	}
	return r.Seq > old.Seq
}
