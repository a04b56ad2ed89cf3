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

// fetchingNode is a node of a large zone with a desired state, and the hosts from which it requested a newer one.
type fetchingNode struct {
	*Node
	mu        sync.Mutex
	requested []string
}

// newFetchingNode returns a node of zone a that knows the peer "near" there; its dials are recorded and refused.
func newFetchingNode() *fetchingNode {
	a := &fetchingNode{Node: &Node{ip: "n", clock: clock.Real{}, cfg: settings.Settings{Zone: "a", Mesh: &settings.Mesh{}, Listen: settings.Listen{Peers: "n:1"}}}}
	a.controlLog = slog.New(slog.DiscardHandler)
	a.peers = map[string]*peer{}
	a.control.zoneHosts = make([]string, follow.SmallZoneSize+1)
	a.state.Store(&desired.State{Version: 1})
	a.network.Dial = func(_ context.Context, _, addr string, _ time.Duration) (net.Conn, error) {
		a.mu.Lock()
		defer a.mu.Unlock()
		host, _, _ := net.SplitHostPort(addr)
		a.requested = append(a.requested, host)
		return nil, syscall.ECONNREFUSED
	}
	a.peer("near").sameZone.Store(true)
	return a
}

// requestedDuring runs fetchDueState as the control goroutine does for the given time, and returns the hosts queried meanwhile.
func (a *fetchingNode) requestedDuring(d time.Duration) []string {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tickPeriod) {
		a.fetchDueState(time.Now())
	}
	synctest.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	requested := a.requested
	a.requested = nil
	return slices.Compact(requested)
}

// Guards against each node fetching a state of a thousand routes from another zone if it learns of the version there first.
func TestANewerStateOfAnotherZoneIsLeftToTheFollowers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := newFetchingNode()
		a.scheduleFetch(time.Now(), "far", 2)
		c.Assert(a.requestedDuring(crossZoneFetchDelay/2), qt.HasLen, 0)
		a.scheduleFetch(time.Now(), "near", 2)
		c.Assert(a.requestedDuring(tickPeriod), qt.DeepEquals, []string{"near"}, qt.Commentf("a node of the local zone is queried at once"))
		a.state.Store(&desired.State{Version: 2})
		c.Assert(a.requestedDuring(time.Second), qt.HasLen, 0)
		a.scheduleFetch(time.Now(), "far", 3)
		c.Assert(a.requestedDuring(crossZoneFetchDelay+2*tickPeriod), qt.DeepEquals, []string{"far"}, qt.Commentf("no node of the local zone has it"))
	})
}

func TestStateRequestsToOneNodeAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := newFetchingNode()
		a.scheduleFetch(time.Now(), "near", 2)
		a.requestedDuring(time.Second)
		c.Assert(a.control.newer.tries, qt.Equals, maxFetchTries)
		c.Assert(a.requestedDuring(time.Second), qt.HasLen, 0, qt.Commentf("the node may no longer run"))
		a.peer("other").sameZone.Store(true)
		a.scheduleFetch(time.Now(), "other", 2)
		c.Assert(a.requestedDuring(tickPeriod), qt.DeepEquals, []string{"other"})
	})
}

func TestANodeWithoutAStateQueriesAnyZone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := newFetchingNode()
		a.state.Store(nil)
		a.scheduleFetch(time.Now(), "far", 2)
		c.Assert(a.requestedDuring(tickPeriod), qt.DeepEquals, []string{"far"})
	})
}

// Between large zones a response contains the state only for a node that requests it or has none.
func TestAResponseBetweenLargeZonesContainsTheStateOnRequest(t *testing.T) {
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
		c.Check(len(a.newResponse(&x.to).State) > 0, qt.Equals, x.given, qt.Commentf("%+v", x.to))
	}
	a.control.zoneHosts = a.control.zoneHosts[:follow.SmallZoneSize]
	c.Check(a.newResponse(&message{Zone: "b", Version: 4}).State, qt.Not(qt.HasLen), 0, qt.Commentf("a small zone has no followers of its own"))
}
