package clock

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against contexts that don't end, or end with another error than those of context.WithTimeout: by their time, with
// their parent, by their CancelFunc, and when their time has passed before.
func TestDeadlineContextEndsLikeWithTimeout(t *testing.T) {
	parentCause := errors.New("gone")
	for name, x := range map[string]struct {
		left time.Duration
		end  func(parent context.CancelCauseFunc, cancel context.CancelFunc)
		want error
	}{
		"time":   {20 * time.Millisecond, func(context.CancelCauseFunc, context.CancelFunc) {}, context.DeadlineExceeded},
		"passed": {-time.Second, func(context.CancelCauseFunc, context.CancelFunc) {}, context.DeadlineExceeded},
		"parent": {time.Hour, func(parent context.CancelCauseFunc, _ context.CancelFunc) { parent(parentCause) }, context.Canceled},
		"cancel": {time.Hour, func(_ context.CancelCauseFunc, cancel context.CancelFunc) { cancel() }, context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			parent, endParent := context.WithCancelCause(context.Background())
			defer endParent(nil)
			var l Deadlines
			ctx, cancel := l.Context(parent, Real{}, Real{}.Now().Add(x.left))
			defer cancel()
			child, endChild := context.WithCancel(ctx)
			defer endChild()
			called := make(chan struct{})
			context.AfterFunc(ctx, func() { close(called) })
			if x.left > 0 {
				stop := context.AfterFunc(ctx, func() { t.Error("called although it was stopped") })
				c.Assert(stop(), qt.IsTrue)
				c.Assert(stop(), qt.IsFalse)
			}
			x.end(endParent, cancel)
			<-ctx.Done()
			<-child.Done()
			<-called
			c.Assert(ctx.Err(), qt.Equals, x.want)
		})
	}
}

// Guards against work that goes on, or begins, after all deadlines were closed.
func TestCloseEndsAllContextsAndLaterOnes(t *testing.T) {
	c := qt.New(t)
	var l Deadlines
	l.Close()
	for range 2 {
		ctx, cancel := l.Context(context.Background(), Real{}, Real{}.Now().Add(time.Hour))
		c.Check(ctx.Err(), qt.Equals, context.Canceled)
		cancel()
	}
	l = Deadlines{}
	ctx, cancel := l.Context(context.Background(), Real{}, Real{}.Now().Add(time.Hour))
	defer cancel()
	expired, cancelExpired := l.Context(context.Background(), Real{}, Real{}.Now().Add(-time.Hour))
	defer cancelExpired()
	c.Assert(ctx.Err(), qt.IsNil)
	l.Close()
	c.Check(ctx.Err(), qt.Equals, context.Canceled)
	c.Check(expired.Err(), qt.Equals, context.DeadlineExceeded)
	c.Check(l.CancelExpired(Real{}.Now()), qt.Equals, 0)
}
