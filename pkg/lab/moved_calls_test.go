package lab

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// TestCallThatArrivesAfterAnEditOfLabelsRunsAtANewTarget guards against work at a server that an edit has left, by calls that were
// on their way for longer than the edit took to be in force.
func TestCallThatArrivesAfterAnEditOfLabelsRunsAtANewTarget(t *testing.T) {
	for _, class := range []string{"reads", "billing"} {
		t.Run(class, func(t *testing.T) {
			c := qt.New(t)
			cl := startRelabeling(t, Options{})
			entry, left := cl.Entries[1], cl.serversOf("front")[0]
			c.Assert(cl.ask(1, class, "first", nil).status, qt.Equals, http.StatusOK) // so that the nodes are connected
			cl.Fabric.Cut(func(from, to netip.Addr) bool { return from == entry.Addr && to == left.Addr })
			const requests = 20
			replies := make(chan reply, requests)
			for i := range requests {
				go func() { replies <- cl.ask(1, class, fmt.Sprint("k", i), nil) }()
			}
			clock.Sleep(context.Background(), 100*time.Millisecond)
			cl.swap()
			c.Assert(cl.inForce(cl.Entries[0].Node.Document().Version), qt.IsTrue)
			before := cl.runsAt(left)
			cl.Fabric.Cut(nil)
			for range requests {
				rep := <-replies
				c.Check(rep.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", rep))
			}
			c.Check(cl.runsAt(left), qt.Equals, before)
		})
	}
}
