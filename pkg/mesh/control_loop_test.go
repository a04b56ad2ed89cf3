package mesh

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Work for the control goroutine that found its queue full when that had ended waited for ever, and the halt of the node with it:
// a node under load that was told to end stayed until it was killed.
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
	// The control goroutine may take a few more before it sees that it is to end, but hardly a hundred.
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
	asked := false
	c.Assert(n.enqueueAndWait(t.Context(), func() { asked = true }), qt.IsTrue)
	c.Assert(asked, qt.IsTrue)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	blocked := make(chan struct{})
	n.enqueue(func() { <-blocked })
	c.Assert(n.enqueueAndWait(ctx, func() {}), qt.IsFalse)
	close(blocked)
}

// Signals are taken before the node starts: what they handed over raced with its start.
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
