package mesh

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a slow start after a store outage: a node had the records 0.9 s before its desired state, since the call for
// the state still hung.
func TestAHangingCallIsRetriedOnceTheStoreAnswers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var w storeAvailability
		hang := func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		answer := func(context.Context) error { return nil }
		c.Assert(w.newAttempt().call(t.Context(), time.Second, hang), qt.Equals, context.DeadlineExceeded)
		begun := time.Now()
		go func() {
			time.Sleep(300 * time.Millisecond)
			c.Check(w.newAttempt().call(t.Context(), time.Second, answer), qt.IsNil)
		}()
		call := w.newAttempt()
		c.Assert(call.call(t.Context(), time.Minute, hang), qt.Equals, context.Canceled)
		c.Assert(call.sleep(t.Context(), time.Minute), qt.IsTrue)
		c.Assert(time.Since(begun), qt.Equals, 300*time.Millisecond)
	})
}

// While the store is available, an answered call doesn't cancel the others.
func TestACallIsNotCanceledWhileTheStoreIsAvailable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var w storeAvailability
		slow := func(context.Context) error {
			time.Sleep(time.Second)
			return nil
		}
		go func() {
			for range 5 {
				c.Check(w.newAttempt().call(t.Context(), time.Second, func(context.Context) error { return nil }), qt.IsNil)
				time.Sleep(100 * time.Millisecond)
			}
		}()
		c.Assert(w.newAttempt().call(t.Context(), time.Minute, func(ctx context.Context) error {
			err := slow(ctx)
			c.Check(ctx.Err(), qt.IsNil)
			return err
		}), qt.IsNil)
	})
}
