package logging

import (
	"io"
	"testing"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// BenchmarkLimitedLine measures a line that isn't written since its message has reached the limit.
func BenchmarkLimitedLine(b *testing.B) {
	log := Factory{W: io.Discard, Clock: clock.NewManual(time.Unix(1000, 0)), JSON: true, PerSecond: 25}.Logger("call")
	id, count := "attempt-1234", 3
	b.ReportAllocs()
	for b.Loop() {
		if !IsLimited(log, "not served") {
			log.Info("not served", "request", id, "route", id, "service", id, "outcome", id, "reason", id, "arrivals", count, "tried", count)
		}
	}
}
