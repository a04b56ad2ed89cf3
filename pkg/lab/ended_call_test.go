package lab

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// TestOnceOnlyCallOfAnEndedCallDoesNotRun guards against once-only work that a server still asks for after its caller has given up, and
// that the caller's retry runs once more.
func TestOnceOnlyCallOfAnEndedCallDoesNotRun(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	below := cl.Graph.class("billing")
	call := func(request string, h http.Header) reply {
		h.Set(headerLabRequest, request)
		return cl.outbound(cl.serversOf("front")[0])(context.Background(), outgoing{service: "back", method: below.method(), path: below.path(), header: h})
	}
	rep := call("ended", http.Header{wire.HeaderRequest: {"1-0123abcd"}})
	c.Check(rep.outcome, qt.Equals, wire.NotRun, qt.Commentf("%+v", rep))
	c.Check(cl.runsOf("ended", "back"), qt.Equals, 0)

	own := http.Header{wire.HeaderRequest: {"1-0123abcd"}, wire.HeaderIdempotencyKey: {"own"}}
	for range 2 {
		c.Check(call("own key", own.Clone()).status, qt.Equals, http.StatusOK)
	}
	c.Check(cl.runsOf("own key", "back"), qt.Equals, 1)

	c.Check(call("job", http.Header{}).status, qt.Equals, http.StatusOK)
	c.Check(cl.runsOf("job", "back"), qt.Equals, 1)
}
