package node

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/repeat"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// onceTest is the node of VM a of a service of two VMs, whose backend server makes once-only calls; the daemon of VM b can't be reached.
type onceTest struct {
	*swapTest
	in *inbound
	q  *request
	t  *config.Treatment
}

// newOnceTest returns the node with a call in progress that has the given key and number of retry tokens.
func newOnceTest(t *testing.T, key string, tokens int) *onceTest {
	c := qt.New(t)
	s := newSwapTest(t)
	s.put(c, 1, "dc=b", "a", "b")
	call := wire.Call{RootID: "root", Service: "front", Key: key, RetryTokens: tokens}
	return &onceTest{
		swapTest: s,
		in:       s.n.newInbound(context.Background(), call, time.Now().Add(5*time.Second)),
		q:        &request{method: http.MethodPost, host: "front", uri: "/", path: "/", header: http.Header{}},
		t:        &config.Treatment{Service: "front", Class: "charge", OnceOnly: true, Timeout: time.Second},
	}
}

// TestChildCallOverTheRetryBudgetIsUnknownWhileAnEarlierOneMayRun guards against "not run" for the key of once-only work that an earlier
// call of the backend server may have run.
func TestChildCallOverTheRetryBudgetIsUnknownWhileAnEarlierOneMayRun(t *testing.T) {
	for _, failed := range []bool{false, true} {
		c := qt.New(t)
		s := newOnceTest(t, "", 0)
		c.Assert(s.in.ledger.BeginCall(s.q.signature("front")), qt.IsTrue)
		if failed {
			s.in.ledger.EndCall(s.q.signature("front"), true)
		}
		a := s.n.sendChild(context.Background(), s.in, s.t, s.q)
		c.Check(a.meta.Reason, qt.Equals, wire.ReasonRetryBudget)
		c.Check(a.meta.Outcome, qt.Equals, wire.Unknown)
	}
}

// TestRetryOverTheCustomersShareIsUnknownIfAnAttemptWasSent guards against "not run" for a repeatable request whose earlier attempt is
// still on its way.
func TestRetryOverTheCustomersShareIsUnknownIfAnAttemptWasSent(t *testing.T) {
	for _, sent := range []bool{false, true} {
		c := qt.New(t)
		n := newOnceTest(t, "", 0).n
		now := time.Now()
		_, e, _ := n.guard.Begin(now, repeat.Attempt{Key: "k", Customer: "c"})
		if sent {
			n.guard.MarkForwarded(e)
		}
		n.guard.End(now, e, nil)
		for i := 0; ; i++ {
			key := strconv.Itoa(i)
			_, first, _ := n.guard.Begin(now, repeat.Attempt{Key: key, Customer: "c"})
			n.guard.End(now, first, nil)
			v, retry, _ := n.guard.Begin(now, repeat.Attempt{Key: key, Customer: "c"})
			if v == repeat.OverRetryShare {
				break
			}
			n.guard.End(now, retry, nil)
		}
		a := n.sendGuarded(context.Background(), &config.Treatment{Service: "front"}, &request{}, "k", "c", time.Second)
		c.Check(a.meta.Reason, qt.Equals, wire.ReasonRetryBudget)
		c.Check(a.meta.Outcome, qt.Equals, map[bool]wire.Outcome{false: wire.NotRun, true: wire.Unknown}[sent])
	}
}
