package mesh

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// Servers of another zone count by its sum; those that it doesn't tell of, by their slots.
func TestRoomOfAnotherZone(t *testing.T) {
	c := qt.New(t)
	peers := []*peer{{host: "a"}, {host: "b"}, {host: "c"}}
	for _, p := range peers {
		p.slots.Store(20)
	}
	z := &zoneLoad{services: []loads.ServiceSum{{Nodes: 2, Load: loads.Report{Service: "s", Room: 18}}}}
	c.Assert(z.usableSlots("s", peers), qt.Equals, 18.0+20)
	c.Assert(z.usableSlots("s", peers[:1]), qt.Equals, 9.0, qt.Commentf("one of the two has left since"))
	c.Assert((*zoneLoad)(nil).usableSlots("s", peers), qt.Equals, 60.0)
	peers[2].failed(time.Unix(100, 0))
	c.Assert((*zoneLoad)(nil).usableSlots("s", peers), qt.Equals, 40.0, qt.Commentf("one can't be reached"))
}

// A zone that was cut off was planned with for three seconds by its last report, and later by its slots whenever it
// was due to be tried again; meanwhile most calls found no room.
func TestAZoneThatFallsSilentIsNotPlannedWith(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	far := &peer{host: "f", zone: "b"}
	far.slots.Store(20)
	told := func(room float64) []packedZone {
		return []packedZone{{Zone: "b", Body: mustPack([]loads.ServiceSum{{Nodes: 1, Load: loads.Report{Service: "s", Room: room}}})}}
	}
	n := &Node{cfg: settings.Settings{Zone: "a"}}
	n.control.zones = map[string]*zoneLoad{}
	n.view.Store(&view{services: map[string][]*peer{"s": {far}}})
	c.Assert(n.capacity()["s"], qt.Equals, 20.0, qt.Commentf("it wasn't heard yet"))
	n.mergeZoneLoads(now, "f", told(18))
	n.expireLoads(now.Add(time.Second))
	c.Assert(n.capacity()["s"], qt.Equals, 18.0)
	n.expireLoads(now.Add(minZoneLoadTTL + time.Millisecond))
	c.Assert(n.capacity()["s"], qt.Equals, 0.0)
	c.Assert(n.currentReports(), qt.HasLen, 0, qt.Commentf("nor is its demand"))
	n.mergeZoneLoads(now.Add(5*time.Second), "f", told(17))
	c.Assert(n.capacity()["s"], qt.Equals, 17.0)
}

// A service whose only server stands in this zone, can't be reached and doesn't report seemed not to be known, and
// what needs it was let in.
func TestAServiceOutOfReachInThisZoneHasNoRoom(t *testing.T) {
	c := qt.New(t)
	p := &peer{host: "n", zone: "a"}
	p.slots.Store(20)
	n := &Node{cfg: settings.Settings{Zone: "a"}}
	n.view.Store(&view{services: map[string][]*peer{"s": {p}}})
	c.Assert(n.capacity(), qt.DeepEquals, map[string]float64{"s": 20})
	p.failed(time.Unix(100, 0))
	c.Assert(n.capacity(), qt.DeepEquals, map[string]float64{"s": 0})
}

// A server ended for good beside its idle node: the plan went on with all of its slots, while the last one of its service turned two calls in five away. Of a
// day with one of three servers left at its bottom service 0.45 of the requests failed half-way, 0.24 since such a server has no room (one play each).
func TestAServerThatHasEndedHasNoRoom(t *testing.T) {
	t.Parallel()
	for name, busy := range map[string]bool{"with runs": true, "idle": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newMemorySite(t)
				s.seeds = []string{s.at(s.base+"1", 2)}
				for i := range 4 {
					s.add("a", fmt.Sprint("z", i%2), 10)
				}
				s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
				s.settled(1)
				s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) { time.Sleep(time.Second) })
				time.Sleep(3 * time.Second)
				room := func(i int) (room float64) {
					c.Assert(s.nodes[i].ask(t.Context(), func() { room = s.nodes[i].capacity()["a"] }), qt.IsTrue)
					return room
				}
				all := room(0)
				c.Assert(all > 30, qt.IsTrue, qt.Commentf("%v", all))
				if busy {
					go s.ask(1, http.MethodGet, "/read/x", "q", 3*time.Second)
					time.Sleep(100 * time.Millisecond)
				}
				for _, f := range s.servers[:2] {
					f.srv.Close()
				}
				for i := range 8 { // they find that nobody is there
					go s.ask(i%4, http.MethodGet, "/read/y", fmt.Sprint("r", i), 3*time.Second)
				}
				time.Sleep(4 * time.Second)
				for i := range s.nodes {
					c.Check(room(i) < 0.6*all, qt.IsTrue, qt.Commentf("node %d plans with %v of %v", i, room(i), all))
				}
				s.beat(0, false)
				s.beat(1, false)
				time.Sleep(4 * time.Second)
				for i := range s.nodes {
					c.Check(room(i) > 0.9*all, qt.IsTrue, qt.Commentf("node %d plans with %v of %v", i, room(i), all))
				}
			})
		})
	}
}
