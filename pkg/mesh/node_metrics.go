package mesh

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// MetricInfo describes one metric of a mesh node.
type MetricInfo struct {
	Name   string
	Kind   string // counter, gauge or histogram
	Labels string
	Help   string
}

// Metrics is the table of a mesh node's metrics.
var Metrics = []MetricInfo{
	{"requests_total", "counter", "route, service, outcome, reason", "Requests that began here, by how they ended."},
	{"arrivals_total", "counter", "service, outcome, reason", "Requests that other nodes or this one sent to the server on this VM."},
	{"repeats_total", "counter", "service", "Requests that were sent to one more server."},
	{"repeats_denied_total", "counter", "service", "Repeats not made for want of budget."},
	{"peers_aside_total", "counter", "", "Times that a peer was set aside since it failed."},
	{"store_errors_total", "counter", "", "Calls to the store that failed."},
	{"state_version", "gauge", "", "Desired state in force."},
	{"servers_known", "gauge", "", "Backend servers that take work, as known here."},
	{"gate_running", "gauge", "", "Requests in progress at the server on this VM."},
	{"gate_queued", "gauge", "", "Requests that wait for it."},
	{"admitted_share", "gauge", "route", "Share in a thousand of first attempts that is taken in; only while below all."},
	{"request_seconds", "histogram", "route", "Time from a request's arrival to its answer, of those served."},
}

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
func (m *nodeMetrics) count(name string, pairs ...string) {
	key := label(name, pairs...)
	if c, ok := m.registry.Get(key).(metrics.Counter); ok {
		c.Inc(1)
		return
	}
	m.mu.Lock()
	m.series[name]++
	over := m.series[name] > maxSeries
	m.mu.Unlock()
	if over {
		key = label(name, "other", "true")
	}
	metrics.GetOrRegisterCounter(key, m.registry).Inc(1)
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

// writeText writes all metrics in the text form that scrapers read.
func (m *nodeMetrics) writeText(w io.Writer) {
	for _, info := range Metrics {
		kind := strings.Replace(info.Kind, "histogram", "summary", 1)
		fmt.Fprintf(w, "# HELP rockspoke_%s %s\n# TYPE rockspoke_%s %s\n", info.Name, info.Help, info.Name, kind)
		m.writeSeries(w, info)
	}
}

func (m *nodeMetrics) writeSeries(w io.Writer, info MetricInfo) {
	var lines []string
	m.registry.Each(func(key string, v any) {
		if name, _, _ := strings.Cut(key, "{"); name != info.Name {
			return
		}
		switch v := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("rockspoke_%s %d", key, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("rockspoke_%s %d", key, v.Value()))
		}
	})
	if info.Kind == "histogram" {
		lines = append(lines, m.timeLines(info.Name)...)
	}
	slices.SortFunc(lines, cmp.Compare[string])
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
}

// timeLines returns the quantiles of a histogram's label sets.
func (m *nodeMetrics) timeLines(name string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lines []string
	for key, h := range m.times {
		base, labels, _ := strings.Cut(key, "{")
		if base != name {
			continue
		}
		labels = strings.TrimSuffix(labels, "}")
		for _, q := range []float64{50, 90, 99} {
			v := time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
			lines = append(lines, fmt.Sprintf("rockspoke_%s{%s,quantile=\"%g\"} %g", name, labels, q/100, v.Seconds()))
		}
		lines = append(lines, fmt.Sprintf("rockspoke_%s_count{%s} %d", name, labels, h.TotalCount()))
	}
	return lines
}

// metricsHandler serves the metrics as text.
func (n *Node) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.fillGauges()
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		n.metrics.writeText(w)
	})
}

func (n *Node) fillGauges() {
	if s := n.state.Load(); s != nil {
		n.metrics.gauge(s.Version, "state_version")
	}
	known := 0
	for _, peers := range n.view.Load().services {
		known += len(peers)
	}
	n.metrics.gauge(int64(known), "servers_known")
	n.gateMu.Lock()
	g := n.gate.Read()
	n.gateMu.Unlock()
	n.metrics.gauge(int64(g.Running), "gate_running")
	n.metrics.gauge(int64(g.Queued), "gate_queued")
}
