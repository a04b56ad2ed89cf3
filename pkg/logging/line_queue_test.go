package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// stalledWriter blocks every write until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func TestStalledWriterDoesNotBlockLogging(t *testing.T) {
	c := qt.New(t)
	w := &stalledWriter{release: make(chan struct{})}
	clk := clock.NewManual(time.Unix(0, 0))
	q := NewQueue(w, clk, 4)
	f := Factory{W: q, Clock: clk, JSON: true, PerSecond: 1000}
	log := f.Logger("call")
	for range 100 {
		log.Info("refused", "request", "r")
	}
	dropped := q.Dropped()
	c.Assert(dropped >= 95 && dropped <= 96, qt.IsTrue, qt.Commentf("%d", dropped))
	close(w.release)
	q.Close(5 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, line := range strings.Split(strings.TrimSpace(w.b.String()), "\n") {
		c.Assert(json.Valid([]byte(line)), qt.IsTrue, qt.Commentf("%s", line))
	}
}

func TestLinesPerMessageAreLimitedAndCounted(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	clk := clock.NewManual(time.Unix(0, 0))
	log := Factory{W: &b, Clock: clk, JSON: true, PerSecond: 3}.Logger("call")
	for range 10 {
		log.Info("refused")
	}
	c.Assert(strings.Count(b.String(), "\n"), qt.Equals, 3)
	clk.Advance(2 * time.Second)
	log.Info("refused")
	c.Assert(b.String(), qt.Contains, `"repeated":7`)
}

func BenchmarkQueuedLine(b *testing.B) {
	q := NewQueue(&bytes.Buffer{}, clock.Real{}, DefaultQueueSize)
	log := Factory{W: q, Clock: clock.Real{}, JSON: true, PerSecond: 1 << 30}.Logger("call")
	b.ReportAllocs()
	for b.Loop() {
		log.Info("refused", "request", "9c41d07be2a35f68", "route", "r", "reason", "level")
	}
}
