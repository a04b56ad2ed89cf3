package mesh

import (
	"net/http"
	runtimemetrics "runtime/metrics"
	"strconv"
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

	countersMu sync.RWMutex
	counters   map[string]metrics.Counter // by seriesKey; the counter of other="true" for label sets beyond maxSeries isn't here
}

// init prepares the metrics for use.
func (m *nodeMetrics) init() {
	m.registry = metrics.NewRegistry()
	m.series = make(map[string]int)
	m.histograms = make(map[string]*hdrhistogram.Histogram)
	m.counters = make(map[string]metrics.Counter)
}

// seriesKeyBytes is the length up to which a seriesKey is built on the stack; most keys are shorter.
const seriesKeyBytes = 160

// appendSeriesKey appends name{k="v",...} for pairs of label names and values.
func appendSeriesKey(b []byte, name string, pairs []string) []byte {
	b = append(b, name...)
	for i := 0; i+1 < len(pairs); i += 2 {
		sep := byte(',')
		if i == 0 {
			sep = '{'
		}
		b = append(append(append(b, sep), pairs[i]...), '=')
		b = strconv.AppendQuote(b, pairs[i+1])
	}
	if len(pairs) > 0 {
		b = append(b, '}')
	}
	return b
}

// seriesKey returns name{k="v",...} for pairs of label names and values.
func seriesKey(name string, pairs ...string) string { return string(appendSeriesKey(nil, name, pairs)) }

// count adds one to a counter.
func (m *nodeMetrics) count(name string, pairs ...string) { m.add(1, name, pairs...) }

// add adds v to a counter.
func (m *nodeMetrics) add(v int64, name string, pairs ...string) {
	var buf [seriesKeyBytes]byte
	built := appendSeriesKey(buf[:0], name, pairs)
	m.countersMu.RLock()
	c := m.counters[string(built)]
	m.countersMu.RUnlock()
	if c != nil {
		c.Inc(v)
		return
	}
	m.addToNew(v, name, string(built))
}

// addToNew adds v to a counter that isn't in counters yet.
func (m *nodeMetrics) addToNew(v int64, name, key string) {
	m.mu.Lock()
	m.series[name]++
	over := m.series[name] > maxSeries
	m.mu.Unlock()
	if over {
		metrics.GetOrRegisterCounter(seriesKey(name, "other", "true"), m.registry).Inc(v)
		return
	}
	c := metrics.GetOrRegisterCounter(key, m.registry)
	m.countersMu.Lock()
	m.counters[key] = c
	m.countersMu.Unlock()
	c.Inc(v)
}

// gauge sets a gauge.
func (m *nodeMetrics) gauge(v int64, name string, pairs ...string) {
	metrics.GetOrRegisterGauge(seriesKey(name, pairs...), m.registry).Update(v)
}

// observe records a duration in a histogram, in microseconds; a new label set beyond maxSeries is dropped.
func (m *nodeMetrics) observe(d time.Duration, name string, pairs ...string) {
	var buf [seriesKeyBytes]byte
	key := appendSeriesKey(buf[:0], name, pairs)
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[string(key)]
	if h == nil {
		if len(m.histograms) >= maxSeries {
			return
		}
		h = hdrhistogram.New(1, maxHistogramTime, histogramDigits)
		m.histograms[string(key)] = h
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
	g, rate, held := n.gate.Snapshot(), n.gate.RateLimit(now), n.gate.HeldSlots(now)
	n.gateMu.Unlock()
	n.metrics.gauge(int64(held), "gate_held")
	n.metrics.gauge(int64(n.rateUse(now, rate)*1000), "server_rate_use")
	n.metrics.gauge(n.bodyBytes.held.Load(), "body_bytes")
	n.metrics.gauge(n.answerBytes.held.Load(), "answer_bytes")
	n.metrics.gauge(heldMemory(), "memory_bytes")
	n.metrics.gauge(int64(g.Running), "gate_running")
	n.metrics.gauge(int64(g.Queued), "gate_queued")
	if g.ToldPace > 0 {
		n.metrics.gauge(int64(g.ToldPace*100+0.5), "server_pace")
		n.metrics.gauge(int64(g.Slowdown*100+0.5), "server_slowdown")
	}
	n.metrics.gauge(int64(len(n.poison.SuspectCases(now))), "suspects")
}

// memoryMetrics are the runtime's metrics whose difference is the memory that the process holds.
var memoryMetrics = [...]string{"/memory/classes/total:bytes", "/memory/classes/heap/released:bytes"}

// heldMemory returns the bytes of memory that the Go runtime has from the system and hasn't given back.
func heldMemory() int64 {
	samples := []runtimemetrics.Sample{{Name: memoryMetrics[0]}, {Name: memoryMetrics[1]}}
	runtimemetrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
