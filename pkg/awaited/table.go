package awaited

import (
	"slices"
	"sync"
	"time"
)

const (
	// MinMisses is how many queries in a row a peer has to lack a request in before the request counts as lost.
	MinMisses = 2
	// MissInterval is the time between these queries: the answer may be in flight, and TCP on Linux sends a lost packet of it again after
	// 200 ms at the earliest (its least retransmission timeout).
	MissInterval = 250 * time.Millisecond
	// MaxQueried bounds the number of requests in one query.
	MaxQueried = 64
)

// Request is a request that was sent and not answered yet.
type Request struct {
	ID         string
	Sent       time.Time
	QueryAfter time.Duration // time after Sent from which it takes much longer than usual
	Abort      func()        // ends the wait for the answer; called with the table locked

	nextQuery time.Time // when to query the peer about it
	missed    int
}

// Table holds the requests to one peer that aren't answered yet. Its zero value is empty. It is safe for concurrent use.
type Table struct {
	mu            sync.Mutex
	requests      map[*Request]struct{}
	queryInFlight bool
}

// Add adds a request that is being sent.
func (t *Table) Add(r *Request) {
	r.nextQuery = r.Sent.Add(r.QueryAfter)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		t.requests = make(map[*Request]struct{})
	}
	t.requests[r] = struct{}{}
}

// Remove removes a request that was answered or has ended.
func (t *Table) Remove(r *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, r)
}

// StartQuery returns the requests to query the peer about now, the earliest sent first, or none while a query is in flight. Each call that
// returns some must be followed by one call of FinishQuery.
func (t *Table) StartQuery(now time.Time) []*Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.queryInFlight {
		return nil
	}
	var due []*Request
	for r := range t.requests {
		if !now.Before(r.nextQuery) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *Request) int { return a.Sent.Compare(b.Sent) })
	due = due[:min(len(due), MaxQueried)]
	t.queryInFlight = len(due) > 0
	return due
}

// FinishQuery takes the ids of the queried requests that the peer lacks, aborts those that are lost and returns them. After a query that
// failed, missing is empty, as if the peer had all of them.
func (t *Table) FinishQuery(now time.Time, asked []*Request, missing []string) []*Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queryInFlight = false
	var lost []*Request
	for _, r := range asked {
		if _, waits := t.requests[r]; !waits {
			continue
		}
		if !slices.Contains(missing, r.ID) {
			r.missed, r.nextQuery = 0, now.Add(r.QueryAfter)
			continue
		}
		r.missed++
		r.nextQuery = now.Add(MissInterval)
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
