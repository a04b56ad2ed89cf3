package mesh

import (
	"context"
	"time"
)

// storeCall is a kind of call to the store, as the metric of them names it.
type storeCall string

// The kinds.
const (
	readStateCall    storeCall = "read-state"
	followStateCall  storeCall = "follow-state"
	readRecordsCall  storeCall = "read-records"
	writeRecordCall  storeCall = "write-record"
	writeLearnedCall storeCall = "write-learned"
	writeHeldCall    storeCall = "write-held"
	proveStateCall   storeCall = "prove-state"
)

// backoff is the wait before a call that failed is made again; its zero value is that after a success.
type backoff time.Duration

// next returns the wait after one more failure: the first, and then twice the one before, up to the most.
func (b *backoff) next(first, most time.Duration) time.Duration {
	*b = backoff(min(max(2*time.Duration(*b), first), most))
	return time.Duration(*b)
}

// callStore makes one call of a kind within a time, and counts it.
func (n *Node) callStore(ctx context.Context, t storeAttempt, kind storeCall, span time.Duration, f func(ctx context.Context) error) error {
	n.metrics.count("store_calls_total", "call", string(kind))
	err := t.call(ctx, span, f)
	if err != nil {
		n.metrics.count("store_errors_total")
	}
	if n.store.Era != nil {
		n.noteStoreEpoch("store", n.store.Era())
	}
	return err
}
