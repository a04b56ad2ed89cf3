package clock

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSleepReturnsWhenItsContextIsDone(t *testing.T) {
	c := qt.New(t)
	c.Assert(Sleep(context.Background(), time.Millisecond), qt.IsTrue)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(Sleep(ctx, time.Hour), qt.IsFalse)
}
