package loads

import (
	"math"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// Report is what a node reports of its traffic and its backend server to the nodes of its availability zone. Rates are per
// second. It is sent as an array: the order of the fields is part of the protocol.
type Report struct {
	Host    string `json:"h"`
	Epoch   int64  `json:"e"` // lifetime of the process
	Seq     int64  `json:"q"` // increases within one epoch
	Service string `json:"s"`
	// UsableSlots is the gate's limit, less the slots that the load beyond it would take, times the usable fraction.
	UsableSlots float64 `json:"l"`
	// Entries are the requests that begin beside the server, by Kind.
	Entries      map[string]Entry    `json:"n,omitempty"`
	Runs         map[string]RunStats `json:"r,omitempty"` // runs at the server, by route
	NotListening bool                `json:"w,omitempty"` // the server isn't listening, and has no usable slots until it is again
	Leaving      bool                `json:"x,omitempty"` // the node stops; relayed by all nodes, since it may end before its own report reaches most
}

// Entry is how many requests of a kind begin a second beside one server.
type Entry struct {
	Fresh     float64 `json:"f,omitempty"` // first attempts
	Returning float64 `json:"b,omitempty"` // clients' retries after a refusal
	// WithoutCaller counts the requests that arrived while no run was in progress that can have made them.
	WithoutCaller float64 `json:"a,omitempty"`
	// Lost counts the admitted requests that were lost at their own hop: refused, unanswered or late. A request that failed
	// because a call below it failed isn't counted, as that call is. It is in hundredths a second: an integer of 0 takes one
	// byte in a message, a floating-point number nine.
	Lost int64 `json:"l,omitempty"`
}

// lostUnits is the number of units of Entry.Lost in one request a second.
const lostUnits = 100

// LostOf returns a rate of lost requests a second in the unit of Entry.Lost.
func LostOf(perSecond float64) int64 { return int64(math.Round(perSecond * lostUnits)) }

// LostPerSecond returns the lost requests a second.
func (e Entry) LostPerSecond() float64 { return float64(e.Lost) / lostUnits }

// Total returns the first attempts and retries a second.
func (e Entry) Total() float64 { return e.Fresh + e.Returning }

// with returns the sum of both entries.
func (e Entry) with(o Entry) Entry {
	return Entry{
		Fresh: e.Fresh + o.Fresh, Returning: e.Returning + o.Returning, WithoutCaller: e.WithoutCaller + o.WithoutCaller, Lost: e.Lost + o.Lost,
	}
}

// RunStats is how often a second a route runs at a server, for how many seconds a run holds a slot, and how many calls of
// each route it makes.
type RunStats struct {
	Rate        float64         `json:"r"`
	HoldSeconds float64         `json:"h"`
	CallsPerRun callgraph.Rates `json:"c,omitempty"`
}

// Supersedes reports whether r replaces old, which may be nil.
func (r *Report) Supersedes(old *Report) bool {
	if old == nil || r.Epoch != old.Epoch {
		return old == nil || r.Epoch > old.Epoch
	}
	return r.Seq > old.Seq
}
