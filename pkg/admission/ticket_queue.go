package admission

import (
	"container/heap"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// Ticket is one call's place at a Gate; the zero value with a Priority and a Deadline is ready to use.
type Ticket struct {
	Priority priority.Priority
	Deadline time.Time
	// Notify is called once when a queued ticket starts or is refused; it must not block or call the Gate.
	Notify func(Decision)

	arrived time.Time
	index   int
	queued  bool
}

// ticketQueue is a heap with the highest priority first, and the earliest among equals.
type ticketQueue []*Ticket

func (q ticketQueue) Len() int { return len(q) }

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

// Push adds a *Ticket; it is called by container/heap only.
func (q *ticketQueue) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*q)
	t.queued = true
	*q = append(*q, t)
}

// Pop removes the last *Ticket; it is called by container/heap only.
func (q *ticketQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	t.queued = false
	return t
}

// lowest returns the queued ticket that is to be evicted first.
func (q ticketQueue) lowest() *Ticket {
	low := q[0]
	for _, t := range q {
		if t.Priority < low.Priority || (t.Priority == low.Priority && t.arrived.After(low.arrived)) {
			low = t
		}
	}
	return low
}

func (q *ticketQueue) remove(t *Ticket) { heap.Remove(q, t.index) }
