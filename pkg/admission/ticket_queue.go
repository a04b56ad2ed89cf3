package admission

import (
	"container/heap"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// Ticket represents one call at a Gate. Priority and Deadline must be set, and Notify if the call may be queued.
type Ticket struct {
	Priority priority.Priority
	Deadline time.Time
	// Notify is called once when a queued ticket starts or is refused, but not after Cancel; it must not block or call the Gate.
	Notify func(Decision)

	arrived time.Time
	index   int
	queued  bool
}

// ticketQueue is a heap of tickets with the highest priority first, and the earliest arrival first among equals.
type ticketQueue []*Ticket

func (q ticketQueue) Len() int { return len(q) }

// Less reports whether ticket i starts before ticket j.
func (q ticketQueue) Less(i, j int) bool {
	if q[i].Priority != q[j].Priority {
		return q[i].Priority > q[j].Priority
	}
	return q[i].arrived.Before(q[j].arrived)
}

func (q ticketQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push appends x, a *Ticket; only container/heap calls it.
func (q *ticketQueue) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*q)
	t.queued = true
	*q = append(*q, t)
}

// Pop removes and returns the last *Ticket; only container/heap calls it.
func (q *ticketQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	t.queued = false
	return t
}

// lowest returns the ticket to evict first: the lowest priority, and the latest arrival among equals. The queue mustn't be empty.
func (q ticketQueue) lowest() *Ticket {
	candidate := q[0]
	for _, t := range q {
		if t.Priority < candidate.Priority || (t.Priority == candidate.Priority && t.arrived.After(candidate.arrived)) {
			candidate = t
		}
	}
	return candidate
}

// remove removes a queued ticket.
func (q *ticketQueue) remove(t *Ticket) { heap.Remove(q, t.index) }
