package mesh

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// The bounds of labels and of times.
const (
	// maxSeries bounds the label sets of one metric; what comes beyond it is counted as "other".
	maxSeries = 200
	// longestTime and digits fix the histograms: up to a minute, two significant digits.
	longestTime = int64(time.Minute / time.Microsecond)
	digits      = 2
)

// nodeMetrics holds a node's metrics by name and labels; its zero value has none.
type nodeMetrics struct {
	registry metrics.Registry

	mu     sync.Mutex
	series map[string]int // label sets by metric
	times  map[string]*hdrhistogram.Histogram
}

func (m *nodeMetrics) init() {
	m.registry = metrics.NewRegistry()
	m.series = make(map[string]int)
	m.times = make(map[string]*hdrhistogram.Histogram)
}

// label writes name{k="v",...} from pairs.
func label(name string, pairs ...string) string {
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

// add adds to a counter.
func (m *nodeMetrics) add(v int64, name string, pairs ...string) {
	key := label(name, pairs...)
	if c, ok := m.registry.Get(key).(metrics.Counter); ok {
		c.Inc(v)
		return
	}
	m.mu.Lock()
	m.series[name]++
	over := m.series[name] > maxSeries
	m.mu.Unlock()
	if over {
		key = label(name, "other", "true")
	}
	metrics.GetOrRegisterCounter(key, m.registry).Inc(v)
}

// gauge sets a gauge.
func (m *nodeMetrics) gauge(v int64, name string, pairs ...string) {
	metrics.GetOrRegisterGauge(label(name, pairs...), m.registry).Update(v)
}

// observe adds a time to a histogram.
func (m *nodeMetrics) observe(d time.Duration, name string, pairs ...string) {
	key := label(name, pairs...)
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.times[key]
	if h == nil {
		if len(m.times) >= maxSeries {
			return
		}
		h = hdrhistogram.New(1, longestTime, digits)
		m.times[key] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestTime)) // always within the bounds
}

// operatorsHandler serves those who look after the system: the metrics, at any path but that of what is held back.
func (n *Node) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(HeldBackPath, n.heldBackHandler())
	mux.Handle("/", n.metricsHandler())
	return mux
}

// metricsHandler serves the metrics as text.
func (n *Node) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.fillGauges()
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		n.metrics.writeText(w)
	})
}

// fillGauges sets the gauges that are read rather than counted.
func (n *Node) fillGauges() {
	if s := n.state.Load(); s != nil {
		n.metrics.gauge(s.Version, "state_version")
	}
	known := 0
	for _, peers := range n.view.Load().services {
		known += len(peers)
	}
	n.metrics.gauge(int64(known), "servers_known")
	away := int64(0)
	if n.away.Load() {
		away = 1
	}
	n.metrics.gauge(away, "server_away")
	n.gateMu.Lock()
	g := n.gate.Read()
	n.gateMu.Unlock()
	n.metrics.gauge(int64(g.Running), "gate_running")
	n.metrics.gauge(int64(g.Queued), "gate_queued")
	n.metrics.gauge(int64(len(n.poison.SuspectCases(n.clock.Now()))), "suspects")
}
