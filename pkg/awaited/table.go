package awaited

import (
	"slices"
	"sync"
	"time"
)

const (
	// MinMisses is how often a peer has to lack a request before it counts as lost.
	MinMisses = 2
	// MissInterval is the time between: the answer may just be on its way, and a lost packet of it is sent again after 200 ms at the
	// earliest (the least time-out of TCP on Linux).
	MissInterval = 250 * time.Millisecond
	// MaxQueried bounds how many requests are asked for at a time.
	MaxQueried = 64
)

// Request is one that was sent and not answered yet.
type Request struct {
	ID         string
	Sent       time.Time
	QueryAfter time.Duration // after which it takes much longer than usual
	Abort      func()        // ends the wait for its answer

	next   time.Time // when to ask for it
	missed int
}

// Table holds the requests to one peer. Its zero value is empty; it is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	requests map[*Request]struct{}
	asking   bool
}

// Add notes a request that is being sent.
func (t *Table) Add(r *Request) {
	r.next = r.Sent.Add(r.QueryAfter)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		t.requests = make(map[*Request]struct{})
	}
	t.requests[r] = struct{}{}
}

// Remove notes that a request was answered or has ended.
func (t *Table) Remove(r *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, r)
}

// StartQuery returns the requests to ask the peer for now, the earliest first, or none while it is being asked already. Each StartQuery that returns
// some is followed by one call of Told.
func (t *Table) StartQuery(now time.Time) []*Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asking {
		return nil
	}
	var due []*Request
	for r := range t.requests {
		if !now.Before(r.next) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *Request) int { return a.Sent.Compare(b.Sent) })
	due = due[:min(len(due), MaxQueried)]
	t.asking = len(due) > 0
	return due
}

// FinishQuery takes which of the requests that were asked for the peer lacks, and gives up those that are lost, which it returns. The answer
// to a question that failed is that it has all of them.
func (t *Table) FinishQuery(now time.Time, asked []*Request, missing []string) []*Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asking = false
	var lost []*Request
	for _, r := range asked {
		if _, waits := t.requests[r]; !waits {
			continue
		}
		if !slices.Contains(missing, r.ID) {
			r.missed, r.next = 0, now.Add(r.QueryAfter)
			continue
		}
		r.missed++
		r.next = now.Add(MissInterval)
		if r.missed >= MinMisses {
			delete(t.requests, r)
			lost = append(lost, r)
		}
	}
	for _, r := range lost {
		r.Abort()
	}
	return lost
}
