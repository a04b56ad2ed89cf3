package mesh

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// Limits of labels and histograms.
const (
	// maxSeries bounds the label sets of one metric; further ones are counted with the label other="true".
	maxSeries = 200
	// maxHistogramTime and histogramDigits define the histograms: up to a minute in microseconds, two significant digits.
	maxHistogramTime = int64(time.Minute / time.Microsecond)
	histogramDigits  = 2
)

// nodeMetrics holds a node's metrics by name and labels; init must be called before use.
type nodeMetrics struct {
	registry metrics.Registry

	mu         sync.Mutex
	series     map[string]int // number of label sets by metric
	histograms map[string]*hdrhistogram.Histogram
}

// init prepares the metrics for use.
func (m *nodeMetrics) init() {
	m.registry = metrics.NewRegistry()
	m.series = make(map[string]int)
	m.histograms = make(map[string]*hdrhistogram.Histogram)
}

// seriesKey returns name{k="v",...} for pairs of label names and values.
func seriesKey(name string, pairs ...string) string {
	if len(pairs) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(pairs); i += 2 {
		sep := ","
		if i == 0 {
			sep = "{"
		}
		fmt.Fprintf(&b, "%s%s=%q", sep, pairs[i], pairs[i+1])
	}
	b.WriteByte('}')
	return b.String()
}

// count adds one to a counter.
func (m *nodeMetrics) count(name string, pairs ...string) { m.add(1, name, pairs...) }

// add adds v to a counter.
func (m *nodeMetrics) add(v int64, name string, pairs ...string) {
	key := seriesKey(name, pairs...)
	if c, ok := m.registry.Get(key).(metrics.Counter); ok {
		c.Inc(v)
		return
	}
	m.mu.Lock()
	m.series[name]++
	over := m.series[name] > maxSeries
	m.mu.Unlock()
	if over {
		key = seriesKey(name, "other", "true")
	}
	metrics.GetOrRegisterCounter(key, m.registry).Inc(v)
}

// gauge sets a gauge.
func (m *nodeMetrics) gauge(v int64, name string, pairs ...string) {
	metrics.GetOrRegisterGauge(seriesKey(name, pairs...), m.registry).Update(v)
}

// observe records a duration in a histogram, in microseconds; a new label set beyond maxSeries is dropped.
func (m *nodeMetrics) observe(d time.Duration, name string, pairs ...string) {
	key := seriesKey(name, pairs...)
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[key]
	if h == nil {
		if len(m.histograms) >= maxSeries {
			return
		}
		h = hdrhistogram.New(1, maxHistogramTime, histogramDigits)
		m.histograms[key] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxHistogramTime)) // always within the bounds
}

// operatorsHandler serves operators: the quarantined requests at QuarantinePath, and the metrics at any other path.
func (n *Node) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(QuarantinePath, n.quarantineHandler())
	mux.Handle("/", n.metricsHandler())
	return mux
}

// metricsHandler serves the metrics in the Prometheus text format.
func (n *Node) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.updateGauges()
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		n.metrics.writeText(w)
	})
}

// updateProblemGauges sets the gauges of invalid entries; an effect that no version had yet has none.
func (n *Node) updateProblemGauges(s *desired.State) {
	counts := make(map[desired.Effect]int64)
	for _, p := range s.Problems {
		counts[p.Effect]++
	}
	for _, e := range desired.Effects {
		if n.metrics.registry.Get(seriesKey("state_problems", "effect", string(e))) != nil || counts[e] > 0 {
			n.metrics.gauge(counts[e], "state_problems", "effect", string(e))
		}
	}
}

// updateGauges sets the gauges that are computed when the metrics are read.
func (n *Node) updateGauges() {
	if s := n.state.Load(); s != nil {
		n.metrics.gauge(s.Version, "state_version")
		n.updateProblemGauges(s)
	}
	known := 0
	for _, peers := range n.view.Load().services {
		known += len(peers)
	}
	n.metrics.gauge(int64(known), "servers_known")
	notListening := int64(0)
	if n.serverNotListening.Load() {
		notListening = 1
	}
	n.metrics.gauge(notListening, "server_away")
	now := n.clock.Now()
	n.gateMu.Lock()
	g, rate := n.gate.Snapshot(), n.gate.RateLimit(now)
	n.gateMu.Unlock()
	n.metrics.gauge(int64(n.rateUse(now, rate)*1000), "server_rate_use")
	n.metrics.gauge(n.bodyBytes.held.Load(), "body_bytes")
	n.metrics.gauge(int64(g.Running), "gate_running")
	n.metrics.gauge(int64(g.Queued), "gate_queued")
	n.metrics.gauge(int64(len(n.poison.SuspectCases(now))), "suspects")
}
