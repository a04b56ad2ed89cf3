package gate

import (
	"cmp"
	"time"
)

// The lead and the lag in the order of tickets. A root was admitted for this server, so it isn't left behind
// for as long as calls, or more urgent roots, keep coming.
const (
	// innerLead is how much earlier a call of a running request counts as come: the work above it waits.
	innerLead = 40 * time.Millisecond
	// mostAgeLead bounds how much earlier still a call counts as come by its age. Where not all calls can be served it
	// is better that those of requests that have made most of theirs are: one that fails takes all the work before it
	// along. The bound keeps roots from waiting for ever.
	mostAgeLead = 600 * time.Millisecond
	// priorityLag is how much later a root counts as come for each step of urgency that it lacks.
	priorityLag = 20 * time.Millisecond
)

// compare orders tickets by when they are due.
func compare(a, b *Ticket) int {
	return cmp.Or(a.due().Compare(b.due()), cmp.Compare(a.order, b.order))
}

// due is the time as of which a ticket counts as come.
func (t *Ticket) due() time.Time {
	switch {
	case t.plain:
		return t.arrived
	case t.Internal:
		return t.arrived.Add(-innerLead - min(t.Age, mostAgeLead))
	}
	return t.arrived.Add(time.Duration(t.Priority) * priorityLag)
}
