package mesh

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/follow"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// fetchingNode is a node of a large zone with a desired state, and the hosts that it asked for a newer one.
type fetchingNode struct {
	*Node
	mu        sync.Mutex
	requested []string
}

func newFetchingNode() *fetchingNode {
	a := &fetchingNode{Node: &Node{ip: "n", clock: clock.Real{}, cfg: settings.Settings{Zone: "a", Mesh: &settings.Mesh{}, Listen: settings.Listen{Peers: "n:1"}}}}
	a.controlLog = slog.New(slog.DiscardHandler)
	a.peers = map[string]*peer{}
	a.control.zoneHosts = make([]string, follow.AllUpTo+1)
	a.state.Store(&desired.State{Version: 1})
	a.network.Dial = func(_ context.Context, _, addr string, _ time.Duration) (net.Conn, error) {
		a.mu.Lock()
		defer a.mu.Unlock()
		host, _, _ := net.SplitHostPort(addr)
		a.requested = append(a.requested, host)
		return nil, syscall.ECONNREFUSED
	}
	a.peer("near").near.Store(true)
	return a
}

// requestedDuring waits, looks at what is due as the control goroutine does, and returns the hosts that were asked meanwhile.
func (a *fetchingNode) requestedDuring(d time.Duration) []string {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tickPeriod) {
		a.fetchDueState(time.Now())
	}
	synctest.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	asked := a.requested
	a.requested = nil
	return slices.Compact(asked)
}

// A state of a thousand routes came from other zones to each node that heard of it there first.
func TestANewerStateOfAnotherZoneIsLeftToTheFollowers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := newFetchingNode()
		a.scheduleFetch(time.Now(), "far", 2)
		c.Assert(a.requestedDuring(crossZoneFetchDelay/2), qt.HasLen, 0)
		a.scheduleFetch(time.Now(), "near", 2)
		c.Assert(a.requestedDuring(tickPeriod), qt.DeepEquals, []string{"near"}, qt.Commentf("a node of the own zone is asked at once"))
		a.state.Store(&desired.State{Version: 2})
		c.Assert(a.requestedDuring(time.Second), qt.HasLen, 0)
		a.scheduleFetch(time.Now(), "far", 3)
		c.Assert(a.requestedDuring(crossZoneFetchDelay+2*tickPeriod), qt.DeepEquals, []string{"far"}, qt.Commentf("nobody near has it"))
	})
}

func TestANodeThatHasTheStateIsAskedAFewTimes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := newFetchingNode()
		a.scheduleFetch(time.Now(), "near", 2)
		a.requestedDuring(time.Second)
		c.Assert(a.control.newer.tries, qt.Equals, maxFetchTries)
		c.Assert(a.requestedDuring(time.Second), qt.HasLen, 0, qt.Commentf("it may be gone"))
		a.peer("other").near.Store(true)
		a.scheduleFetch(time.Now(), "other", 2)
		c.Assert(a.requestedDuring(tickPeriod), qt.DeepEquals, []string{"other"})
	})
}

func TestANodeWithoutAStateAsksAnybody(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := newFetchingNode()
		a.state.Store(nil)
		a.scheduleFetch(time.Now(), "far", 2)
		c.Assert(a.requestedDuring(tickPeriod), qt.DeepEquals, []string{"far"})
	})
}

// Between large zones the whole state goes only to a node that asks for it, or has none.
func TestAnAnswerBetweenLargeZonesCarriesTheStateToWhoAsks(t *testing.T) {
	c := qt.New(t)
	a := newFetchingNode()
	a.state.Store(&desired.State{Version: 5, Source: []byte("state")})
	for _, x := range []struct {
		to    message
		given bool
	}{
		{message{Zone: "b", Version: 4}, false},
		{message{Zone: "b", Version: 4, WantsState: true}, true},
		{message{Zone: "b"}, true},
		{message{Zone: "a", Version: 4}, true},
		{message{Zone: "a", Version: 5}, false},
	} {
		c.Check(len(a.newAnswer(&x.to).State) > 0, qt.Equals, x.given, qt.Commentf("%+v", x.to))
	}
	a.control.zoneHosts = a.control.zoneHosts[:follow.AllUpTo]
	c.Check(a.newAnswer(&message{Zone: "b", Version: 4}).State, qt.Not(qt.HasLen), 0, qt.Commentf("a small zone has no followers of its own"))
}
