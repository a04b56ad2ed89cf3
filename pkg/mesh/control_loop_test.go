package mesh

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Work for the control goroutine that found a full queue after that goroutine had ended waited forever, and so did halt:
// a loaded node that was to stop stayed until it was killed.
func TestANodeWhoseQueueIsFullCanBeHalted(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	n, _ := s.add("a", "z", 10)
	blocked := make(chan struct{})
	n.enqueue(func() { <-blocked })
	for range eventQueueSize {
		select {
		case n.events <- func() {}:
		default:
		}
	}
	// The control goroutine may take a few more before it sees that it has to end, but hardly a hundred.
	for range 100 {
		n.startBackground(func() { n.enqueue(func() {}) })
		n.startBackground(func() { n.enqueueAndWait(context.Background(), func() {}) })
	}
	halted := make(chan struct{})
	go func() {
		n.halt()
		close(halted)
	}()
	<-n.done
	close(blocked)
	select {
	case <-halted:
	case <-time.After(10 * time.Second):
		t.Fatal("the node isn't halted")
	}
	c.Assert(n.enqueueAndWait(context.Background(), func() {}), qt.IsFalse)
	n.enqueue(func() {})
}

func TestEnqueueAndWaitWaitsForTheControlGoroutine(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	n, _ := s.add("a", "z", 10)
	ran := false
	c.Assert(n.enqueueAndWait(t.Context(), func() { ran = true }), qt.IsTrue)
	c.Assert(ran, qt.IsTrue)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	blocked := make(chan struct{})
	n.enqueue(func() { <-blocked })
	c.Assert(n.enqueueAndWait(ctx, func() {}), qt.IsFalse)
	close(blocked)
}

// Signals are handled before the node starts: a reload raced with the start.
func TestReloadDuringStart(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.add("a", "z", 10)
	s.nodes[0].halt()
	n := s.newNode(0)
	s.nodes[0] = n
	started := make(chan error, 1)
	go func() { started <- n.Start(context.Background()) }()
	n.Reload(n.cfg)
	c.Assert(<-started, qt.IsNil)
	c.Assert(n.enqueueAndWait(t.Context(), func() {}), qt.IsTrue)
}
