package gate

import (
	"cmp"
	"time"
)

// The lead and lag of tickets in the queue. They are bounded: a root was admitted for this server, so it must not wait
// for as long as calls, or more urgent roots, keep arriving.
const (
	// internalLead is how much earlier a call counts as arrived: a running request waits for it.
	internalLead = 40 * time.Millisecond
	// maxAgeLead bounds the further lead of a call by its age. If not all calls can be served, those of requests that have made
	// most of theirs should be: a failed call wastes all the work before it. The bound keeps roots from waiting forever.
	maxAgeLead = 600 * time.Millisecond
	// lagPerPriority is how much later a root counts as arrived for each priority step below the most urgent.
	lagPerPriority = 20 * time.Millisecond
)

// compareTickets orders tickets by effective arrival, then by arrival.
func compareTickets(a, b *Ticket) int {
	return cmp.Or(a.effectiveArrival().Compare(b.effectiveArrival()), cmp.Compare(a.seq, b.seq))
}

// effectiveArrival returns the time at which a ticket counts as arrived.
func (t *Ticket) effectiveArrival() time.Time {
	switch {
	case t.fifo:
		return t.arrived
	case t.Internal:
		return t.arrived.Add(-internalLead - min(t.Age, maxAgeLead))
	}
	return t.arrived.Add(time.Duration(t.Priority) * t.lag)
}
