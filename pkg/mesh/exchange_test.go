package mesh

import (
	"fmt"
	"testing"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/directory"
)

// sampleMessage is what a node of a mesh of the given size tells a peer: eight routes begin and four run at each node.
func sampleMessage(nodes int) message {
	m := message{From: "10.128.0.9", Version: 12}
	for i := range nodes {
		host := fmt.Sprintf("10.%d.0.%d", i/200, i%200)
		m.Records = append(m.Records, directory.Record{
			Host: host, Generation: 3, Instance: "i-7f3a91c2aa", Service: "huvo11a", Zone: "accra-a", Release: "v1", Slots: 168, Phase: directory.Serving,
		})
		r := loadReport{Host: host, Epoch: 1789204436009, Seq: 500, Service: "huvo11a", Limit: 81.88, Entries: map[string]entryReport{}, Runs: map[string]runReport{}}
		for k := range 8 {
			r.Entries[fmt.Sprintf("r-n2ctnf%d", k)] = entryReport{Fresh: 12.3456, Returning: 1.2345}
		}
		for k := range 4 {
			r.Runs[fmt.Sprintf("r-n2ctnf%d", k)] = runReport{Rate: 45.6789, Hold: 0.1234, Calls: callgraph.Rates{"r-n2ctnf7": 3.9876}}
		}
		m.Reports = append(m.Reports, r)
	}
	return m
}

// BenchmarkExchange is the writing and reading of one message, and its bytes.
func BenchmarkExchange(b *testing.B) {
	for _, nodes := range []int{15, 83, 520} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			m := sampleMessage(nodes)
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				data, err := encodeMessage(m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				if _, err := decodeMessage(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "message-B")
		})
	}
}
