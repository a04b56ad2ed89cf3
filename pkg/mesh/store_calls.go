package mesh

import (
	"context"
	"time"
)

// storeCall is a kind of call to the store; its value is the label in the metric store_calls_total.
type storeCall string

// The kinds of calls.
const (
	readStateCall        storeCall = "read-state"
	followStateCall      storeCall = "follow-state"
	readRecordsCall      storeCall = "read-records"
	writeRecordCall      storeCall = "write-record"
	writeLearnedCall     storeCall = "write-learned"
	writeQuarantinedCall storeCall = "write-held"
	proveStateCall       storeCall = "prove-state"
)

// backoff is the last wait before the retry of a failed call. The zero value is that after a success.
type backoff time.Duration

// next returns the wait after another failure: first, then twice the previous wait, up to limit.
func (b *backoff) next(first, limit time.Duration) time.Duration {
	*b = backoff(min(max(2*time.Duration(*b), first), limit))
	return time.Duration(*b)
}

// callStore makes one call of a kind with the timeout, counts it and its error, and notes the store's epoch.
func (n *Node) callStore(ctx context.Context, t storeAttempt, kind storeCall, timeout time.Duration, f func(ctx context.Context) error) error {
	n.metrics.count("store_calls_total", "call", string(kind))
	err := t.call(ctx, timeout, f)
	if err != nil {
		n.metrics.count("store_errors_total")
	}
	if n.store.Epoch != nil {
		n.noteStoreEpoch("store", n.store.Epoch())
	}
	return err
}
