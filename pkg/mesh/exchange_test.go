package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// sampleMessage returns a message between nodes of a zone: at each node eight routes begin and four run, and every zone has
// servers of all services.
func sampleMessage(zoneNodes, zones, services int) message {
	m := message{From: "10.128.0.9", Zone: "accra-a", Version: 12}
	for i := range zoneNodes {
		r := sampleReport(fmt.Sprintf("10.%d.0.%d", i/200, i%200))
		m.Reports = append(m.Reports, packedReport{Host: r.Host, Epoch: r.Epoch, Seq: r.Seq, Body: r.packed})
	}
	var sums []loads.ServiceSum
	for range services {
		sums = append(sums, loads.ServiceSum{Nodes: zoneNodes / services, Load: sampleReport("").Report})
	}
	for range zones {
		m.Zones = append(m.Zones, packedZone{Zone: "accra-b", Age: 300 * time.Millisecond, Body: mustPack(sums)})
	}
	return m
}

// sampleReport returns a report of a node with eight routes that begin there and four that run there.
func sampleReport(host string) nodeReport {
	r := nodeReport{Report: loads.Report{Host: host, Epoch: 1789204436009, Seq: 500, Service: "huvo11a", UsableSlots: 81.88, Entries: map[string]loads.Entry{}, Runs: map[string]loads.RunStats{}}}
	for k := range 8 {
		r.Entries[fmt.Sprintf("r-n2ctnf%d", k)] = loads.Entry{Fresh: 12.3456, Returning: 1.2345}
	}
	for k := range 4 {
		r.Runs[fmt.Sprintf("r-n2ctnf%d", k)] = loads.RunStats{Rate: 45.6789, HoldSeconds: 0.1234, CallsPerRun: callgraph.Rates{"r-n2ctnf7": 3.9876}}
	}
	r.packed = mustPack(r.Report)
	return r
}

// mustPack encodes a value as pack does, and panics on an error.
func mustPack(v any) []byte {
	b, err := pack(v)
	if err != nil {
		panic(err)
	}
	return b
}

// BenchmarkExchange measures the encoding and decoding of one message inside a zone, and its size in bytes.
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

// Guards against messages that change after they were decoded: the buffers of received messages are used again.
func TestDecodedMessagesDontShareTheBuffer(t *testing.T) {
	c := qt.New(t)
	sent := sampleMessage(2, 2, 2)
	sent.Records = []directory.Record{{Host: "10.0.0.1", Instance: "i", Service: "s"}}
	sent.State = []byte("state")
	data := mustPack(sent)
	var got message
	c.Assert(unpack(data, &got), qt.IsNil)
	clear(data)
	c.Assert(got, qt.DeepEquals, sent)
}

// Guards against messages to other zones that contain the report of every node, half a kilobyte each.
func TestAMessageToAnotherZoneDoesNotGrowWithNodes(t *testing.T) {
	c := qt.New(t)
	length := func(nodes int) int {
		n := &Node{ip: "10.0.0.1", clock: clock.Real{}, cfg: settings.Settings{Zone: "a"}}
		n.control.reports = map[string]*nodeReport{}
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

// A record that only one node knows, and that isn't among the recent changes, reaches all nodes through the digests.
func TestExchangesCompleteRecords(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	s.store.setDown(true)
	lost := directory.Record{Host: s.base + "200", Generation: 3, Instance: "i", Service: "a", Zone: "z9", Slots: 3, Phase: directory.Gone}
	n := s.nodes[0]
	n.enqueue(func() { n.control.directory.Merge(lost) }) // not added to the recent changes, so only the digests differ
	s.waitFor("all know it", func() bool {
		for _, n := range s.nodes {
			if !slices.Contains(n.Dump().Records, lost) {
				return false
			}
		}
		return true
	})
	c.Assert(n.Dump().Records, qt.HasLen, 4)
}

func TestExchangeTargetsMatchTheZoneScope(t *testing.T) {
	c := qt.New(t)
	n := &Node{ip: "a1", cfg: settings.Settings{Zone: "a"}}
	for _, r := range []directory.Record{{Host: "a1", Zone: "a"}, {Host: "a2", Zone: "a"}, {Host: "b1", Zone: "b"}} {
		n.control.directory.Merge(r)
	}
	near, far := n.exchangeTargets(5, localZoneOnly), n.exchangeTargets(5, otherZonesOnly)
	c.Assert(slices.Equal(near, []exchangeTarget{{"a2", "a"}}), qt.IsTrue, qt.Commentf("%v", near))
	c.Assert(slices.Equal(far, []exchangeTarget{{"b1", "b"}}), qt.IsTrue, qt.Commentf("%v", far))
	c.Assert(n.exchangeTargets(5, anyZone), qt.HasLen, 2)
}
