package mesh

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// sampleMessage is what a node tells another one of its zone: eight routes begin and four run at each node, and
// every zone has servers of all services.
func sampleMessage(zoneNodes, zones, services int) message {
	m := message{From: "10.128.0.9", Zone: "accra-a", Version: 12}
	for i := range zoneNodes {
		r := sampleReport(fmt.Sprintf("10.%d.0.%d", i/200, i%200))
		m.Reports = append(m.Reports, packedReport{Host: r.Host, Epoch: r.Epoch, Seq: r.Seq, Body: r.packed})
	}
	var sums []serviceLoad
	for range services {
		sums = append(sums, serviceLoad{Nodes: zoneNodes / services, Load: sampleReport("")})
	}
	for range zones {
		m.Zones = append(m.Zones, packedZone{Zone: "accra-b", Age: 300 * time.Millisecond, Body: mustPack(sums)})
	}
	return m
}

func sampleReport(host string) loadReport {
	r := loadReport{Host: host, Epoch: 1789204436009, Seq: 500, Service: "huvo11a", Room: 81.88, Entries: map[string]entryReport{}, Runs: map[string]runReport{}}
	for k := range 8 {
		r.Entries[fmt.Sprintf("r-n2ctnf%d", k)] = entryReport{Fresh: 12.3456, Returning: 1.2345}
	}
	for k := range 4 {
		r.Runs[fmt.Sprintf("r-n2ctnf%d", k)] = runReport{Rate: 45.6789, Hold: 0.1234, Calls: callgraph.Rates{"r-n2ctnf7": 3.9876}}
	}
	r.packed = mustPack(r)
	return r
}

func mustPack(v any) []byte {
	b, err := pack(v)
	if err != nil {
		panic(err)
	}
	return b
}

// BenchmarkExchange is the writing and reading of one message inside a zone, and its bytes.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []struct{ nodes, zones, services int }{{15, 3, 4}, {83, 4, 4}, {520, 7, 18}} {
		b.Run(fmt.Sprint(size.nodes), func(b *testing.B) {
			m := sampleMessage(size.nodes/size.zones, size.zones, size.services)
			b.ReportAllocs()
			length := 0
			for b.Loop() {
				data, err := pack(m)
				if err != nil {
					b.Fatal(err)
				}
				length = len(data)
				var got message
				if err := unpack(data, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(length), "message-B")
		})
	}
}

// Messages to other zones once carried the report of every node, half a kilobyte each.
func TestAMessageToAnotherZoneDoesNotGrowWithNodes(t *testing.T) {
	c := qt.New(t)
	length := func(nodes int) int {
		n := &Node{ip: "10.0.0.1", clock: clock.Real{}, cfg: settings.Settings{Zone: "a"}}
		n.control.reports = map[string]*loadReport{}
		for i := range nodes {
			r := sampleReport(fmt.Sprint("10.0.0.", i))
			n.control.reports[r.Host] = &r
		}
		data, err := pack(n.newMessage("b"))
		c.Assert(err, qt.IsNil)
		return len(data)
	}
	c.Assert(length(100) < length(2)+10, qt.IsTrue, qt.Commentf("%d and %d", length(2), length(100)))
}

// What is learned from sums by zone and service is what the single reports tell.
func TestSumsOfAZoneTellTheSameCosts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		reports := map[string]*loadReport{}
		for i := range rapid.IntRange(1, 9).Draw(r, "nodes") {
			service := rapid.SampledFrom([]string{"top", "low"}).Draw(r, "service")
			x := loadReport{Host: fmt.Sprint(i), Service: service, Room: 10, Runs: map[string]runReport{}, Entries: map[string]entryReport{}}
			run := runReport{Rate: rapid.Float64Range(1, 50).Draw(r, "rate"), Hold: rapid.Float64Range(0.01, 1).Draw(r, "hold")}
			if service == "top" {
				run.Calls = callgraph.Rates{"call": rapid.Float64Range(0.1, 5).Draw(r, "calls")}
				x.Runs["root"] = run
			} else {
				x.Runs["call"] = run
			}
			reports[x.Host] = &x
		}
		var single, summed []*loadReport
		for _, x := range reports {
			single = append(single, x)
		}
		sums := addUp(reports)
		for i := range sums {
			summed = append(summed, &sums[i].Load)
		}
		a := callgraph.Costs(graphOf(single), placesOf(single))
		b := callgraph.Costs(graphOf(summed), placesOf(summed))
		for route, cost := range a {
			for service, slots := range cost.Slots {
				if d := slots - b[route].Slots[service]; d > 1e-6 || d < -1e-6 {
					r.Fatalf("%s at %s: %v and %v", route, service, slots, b[route].Slots[service])
				}
			}
		}
	})
}

// Servers of another zone count by its sum; those that it doesn't tell of, by their slots.
func TestRoomOfAnotherZone(t *testing.T) {
	c := qt.New(t)
	peers := []*peer{{host: "a"}, {host: "b"}, {host: "c"}}
	for _, p := range peers {
		p.slots.Store(20)
	}
	z := &zoneLoad{services: []serviceLoad{{Nodes: 2, Load: loadReport{Service: "s", Room: 18}}}}
	c.Assert(z.room("s", peers), qt.Equals, 18.0+20)
	c.Assert(z.room("s", peers[:1]), qt.Equals, 9.0, qt.Commentf("one of the two has left since"))
	c.Assert((*zoneLoad)(nil).room("s", peers), qt.Equals, 60.0)
	peers[2].failed(time.Unix(100, 0))
	c.Assert((*zoneLoad)(nil).room("s", peers), qt.Equals, 40.0, qt.Commentf("one can't be reached"))
}

// A zone that was cut off was planned with for three seconds by its last report, and later by its slots whenever it
// was due to be tried again; meanwhile most calls found no room.
func TestAZoneThatFallsSilentIsNotPlannedWith(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	far := &peer{host: "f", zone: "b"}
	far.slots.Store(20)
	told := func(room float64) []packedZone {
		return []packedZone{{Zone: "b", Body: mustPack([]serviceLoad{{Nodes: 1, Load: loadReport{Service: "s", Room: room}}})}}
	}
	n := &Node{cfg: settings.Settings{Zone: "a"}}
	n.control.zones = map[string]*zoneLoad{}
	n.view.Store(&view{services: map[string][]*peer{"s": {far}}})
	c.Assert(n.capacity()["s"], qt.Equals, 20.0, qt.Commentf("it wasn't heard yet"))
	n.takeZones(now, "f", told(18))
	n.forgetLoads(now.Add(time.Second))
	c.Assert(n.capacity()["s"], qt.Equals, 18.0)
	n.forgetLoads(now.Add(zoneLifeLeast + time.Millisecond))
	c.Assert(n.capacity()["s"], qt.Equals, 0.0)
	c.Assert(n.loads(), qt.HasLen, 0, qt.Commentf("nor is its demand"))
	n.takeZones(now.Add(5*time.Second), "f", told(17))
	c.Assert(n.capacity()["s"], qt.Equals, 17.0)
}

// A node that lost what it knew, and one that knows of a server which others don't, end up with the same records.
func TestExchangesCompleteRecords(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	s.store.setDown(true)
	lost := directory.Record{Host: s.base + "200", Generation: 3, Instance: "i", Service: "a", Zone: "z9", Slots: 3, Phase: directory.Gone}
	n := s.nodes[0]
	n.do(func() { n.control.directory.Merge(lost) }) // it isn't news, so only the digests tell
	s.until("all know it", func() bool {
		for _, n := range s.nodes {
			if !slices.Contains(n.Dump().Records, lost) {
				return false
			}
		}
		return true
	})
	c.Assert(n.Dump().Records, qt.HasLen, 4)
}

// A zone that was cut off from the only servers of a service went on to take in requests that need it: the reports
// of their runs had lapsed, so they seemed to cost nothing there, and all of them failed half-way.
func TestWhatNeedsAServiceOutOfReachIsRefusedAtItsEntry(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	n := &Node{cfg: settings.Settings{Zone: "a"}, ip: "n"}
	n.controlLog = slog.New(slog.DiscardHandler)
	n.metrics.init()
	n.state.Store(&desired.State{})
	n.control.zones, n.control.places, n.control.sharesShown = map[string]*zoneLoad{}, map[string]lastPlace{}, map[string]bool{}
	near, far := &peer{host: "n", zone: "a"}, &peer{host: "f", zone: "b"}
	n.view.Store(&view{services: map[string][]*peer{"top": {near}, "low": {far}}})
	own := &loadReport{
		Host: "n", Service: "top", Room: 10, heard: now.Add(time.Hour),
		Entries: map[string]entryReport{"root": {Fresh: 10}, "local": {Fresh: 10}},
		Runs:    map[string]runReport{"root": {Rate: 10, Hold: 0.1, Calls: callgraph.Rates{"called": 2}}, "local": {Rate: 10, Hold: 0.1}},
	}
	n.control.reports = map[string]*loadReport{"n": own}
	low := loadReport{Service: "low", Room: 10, Runs: map[string]runReport{"called": {Rate: 20, Hold: 0.1}}}
	n.takeZones(now, "f", []packedZone{{Zone: "b", Body: mustPack([]serviceLoad{{Nodes: 1, Load: low}})}})
	n.replan(now)
	c.Assert(n.plan.Load().shares["root"].Fresh, qt.Equals, 1.0)
	n.replan(now.Add(zoneLifeLeast + time.Second))
	c.Assert(n.plan.Load().shares["root"].Fresh, qt.Equals, 0.0)
	c.Assert(n.plan.Load().shares["local"].Fresh, qt.Equals, 1.0, qt.Commentf("what needs nothing from there is served"))
	n.replan(now.Add(zoneLifeLeast + placeLife + 2*time.Second))
	c.Assert(n.plan.Load().shares["root"].Fresh, qt.Equals, 1.0, qt.Commentf("it may have moved"))
}

func TestExchangesReachTheZonesThatAreMeant(t *testing.T) {
	c := qt.New(t)
	n := &Node{ip: "a1", cfg: settings.Settings{Zone: "a"}}
	for _, r := range []directory.Record{{Host: "a1", Zone: "a"}, {Host: "a2", Zone: "a"}, {Host: "b1", Zone: "b"}} {
		n.control.directory.Merge(r)
	}
	near, far := n.talkTargets(5, nearOnly), n.talkTargets(5, farOnly)
	c.Assert(slices.Equal(near, []talkTarget{{"a2", "a"}}), qt.IsTrue, qt.Commentf("%v", near))
	c.Assert(slices.Equal(far, []talkTarget{{"b1", "b"}}), qt.IsTrue, qt.Commentf("%v", far))
	c.Assert(n.talkTargets(5, anywhere), qt.HasLen, 2)
}
