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

// Servers of another zone count by the zone's sum; those that it doesn't include, by their slots.
func TestUsableSlotsOfAnotherZone(t *testing.T) {
	c := qt.New(t)
	peers := []*peer{{host: "a"}, {host: "b"}, {host: "c"}}
	for _, p := range peers {
		p.slots.Store(20)
	}
	z := &zoneLoad{services: []loads.ServiceSum{{Nodes: 2, Load: loads.Report{Service: "s", UsableSlots: 18}}}}
	c.Assert(z.usableSlots("s", peers), qt.Equals, 18.0+20)
	c.Assert(z.usableSlots("s", peers[:1]), qt.Equals, 9.0, qt.Commentf("one of the two has left since"))
	c.Assert((*zoneLoad)(nil).usableSlots("s", peers), qt.Equals, 60.0)
	peers[2].backOff(time.Unix(100, 0))
	c.Assert((*zoneLoad)(nil).usableSlots("s", peers), qt.Equals, 40.0, qt.Commentf("one peer can't be reached"))
}

// Guards against planning with a zone that was cut off: it counted by its last report for three seconds, and later by its
// slots whenever its peers were due for a retry; meanwhile most calls were rejected for lack of slots.
func TestAnUnresponsiveZoneHasNoCapacity(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	far := &peer{host: "f", zone: "b"}
	far.slots.Store(20)
	sumWith := func(usable float64) []packedZone {
		return []packedZone{{Zone: "b", Body: mustPack([]loads.ServiceSum{{Nodes: 1, Load: loads.Report{Service: "s", UsableSlots: usable}}})}}
	}
	n := &Node{cfg: settings.Settings{Zone: "a"}}
	n.control.zoneLoads = map[string]*zoneLoad{}
	n.view.Store(&view{services: map[string][]*peer{"s": {far}}})
	c.Assert(n.capacity()["s"], qt.Equals, 20.0, qt.Commentf("the zone hasn't reported yet"))
	n.mergeZoneLoads(now, "f", sumWith(18))
	n.expireLoads(now.Add(time.Second))
	c.Assert(n.capacity()["s"], qt.Equals, 18.0)
	n.expireLoads(now.Add(minZoneLoadTTL + time.Millisecond))
	c.Assert(n.capacity()["s"], qt.Equals, 0.0)
	for _, reports := range n.currentSums() {
		c.Assert(reports, qt.HasLen, 0, qt.Commentf("its demand doesn't count either"))
	}
	n.mergeZoneLoads(now.Add(5*time.Second), "f", sumWith(17))
	c.Assert(n.capacity()["s"], qt.Equals, 17.0)
}

// Guards against admitting requests for a service whose only server is in this zone, can't be reached and doesn't report: the
// service counted as unknown, and unknown services don't limit admission.
func TestAnUnreachableServiceInThisZoneHasNoCapacity(t *testing.T) {
	c := qt.New(t)
	p := &peer{host: "n", zone: "a"}
	p.slots.Store(20)
	n := &Node{cfg: settings.Settings{Zone: "a"}}
	n.view.Store(&view{services: map[string][]*peer{"s": {p}}})
	c.Assert(n.capacity(), qt.DeepEquals, map[string]float64{"s": 20})
	p.backOff(time.Unix(100, 0))
	c.Assert(n.capacity(), qt.DeepEquals, map[string]float64{"s": 0})
}

// Guards against planning with the slots of a server that crashed while its node was idle. The plan still counted them, and the
// last server of the service rejected two calls in five. In a day with one of three servers left at the bottom service, 0.45
// of the requests failed half-way, 0.24 since such a server has no usable slots.
func TestAServerThatIsNotListeningHasNoCapacity(t *testing.T) {
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
				s.waitUntilKnown(1)
				s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) { time.Sleep(time.Second) })
				time.Sleep(3 * time.Second)
				usable := func(i int) (usable float64) {
					c.Assert(s.nodes[i].enqueueAndWait(t.Context(), func() { usable = s.nodes[i].capacity()["a"] }), qt.IsTrue)
					return usable
				}
				all := usable(0)
				c.Assert(all > 30, qt.IsTrue, qt.Commentf("%v", all))
				if busy {
					go s.request(1, http.MethodGet, "/read/x", "q", 3*time.Second)
					time.Sleep(100 * time.Millisecond)
				}
				for _, f := range s.servers[:2] {
					f.srv.Close()
				}
				for i := range 8 { // they find that the servers aren't listening
					go s.request(i%4, http.MethodGet, "/read/y", fmt.Sprint("r", i), 3*time.Second)
				}
				time.Sleep(4 * time.Second)
				for i := range s.nodes {
					c.Check(usable(i) < 0.6*all, qt.IsTrue, qt.Commentf("node %d plans with %v of %v", i, usable(i), all))
				}
				s.heartbeat(0, false)
				s.heartbeat(1, false)
				time.Sleep(4 * time.Second)
				for i := range s.nodes {
					c.Check(usable(i) > 0.9*all, qt.IsTrue, qt.Commentf("node %d plans with %v of %v", i, usable(i), all))
				}
			})
		})
	}
}
