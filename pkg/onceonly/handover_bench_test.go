package onceonly

import (
	"strconv"
	"testing"
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// BenchmarkExportOneRange is the time for which a home with a million keys is locked to hand over one of its 64 ranges.
func BenchmarkExportOneRange(b *testing.B) {
	const recent, expired = 500_000, 500_000
	var m KeyMemory
	add := func(from, count int, at time.Time) {
		for i := range count {
			k := HashKey(service, strconv.Itoa(from+i))
			m.Begin(at, k, 1, false)
			m.Finish(at, k, wire.Ran, nil, time.Time{})
		}
	}
	add(0, expired, startTime)
	add(expired, recent, startTime.Add(time.Hour))
	now := startTime.Add(time.Hour)
	b.ResetTimer()
	for i := range b.N {
		m.Export(now, Handover{Ranges: []int{i % NumRanges}})
	}
}
