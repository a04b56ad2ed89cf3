package metric

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Kind is the type of a metric.
type Kind string

// The kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Info describes one metric.
type Info struct {
	Name string
	Kind Kind
	Unit string
	Help string
}

// Metrics is the table of all metrics.
var Metrics = []Info{
	{"entry_requests", Counter, "requests", "Requests that callers sent to this daemon."},
	{"entry_refused", Counter, "requests", "Callers' requests rejected without running."},
	{"entry_unknown", Counter, "requests", "Callers' requests whose outcome is unknown."},
	{"entry_repeats", Counter, "requests", "Callers' retries with an idempotency key seen before."},
	{"entry_repeats_refused", Counter, "requests", "Callers' retries rejected because the customer's share or the retry tokens were used up."},
	{"peer_calls", Counter, "calls", "Calls that other daemons sent to this one."},
	{"outbound_calls", Counter, "calls", "Calls that the backend server on this VM made."},
	{"refused_level", Counter, "calls", "Calls rejected because their priority is below the admission level of this backend server."},
	{"refused_queue", Counter, "calls", "Calls rejected after waiting too long in the queue or being evicted from it."},
	{"refused_deadline", Counter, "calls", "Calls rejected because too little time was left."},
	{"refused_server", Counter, "calls", "Calls that the backend server itself rejected."},
	{"refused_local", Counter, "calls", "Calls rejected by this daemon because of the admission levels of services further down the call graph."},
	{"retries", Counter, "calls", "Attempts beyond the first that this daemon made."},
	{"retries_denied", Counter, "calls", "Retries not made because the retry tokens or the target's retry share were used up."},
	{"lost_answers", Counter, "calls", "Attempts whose response was lost."},
	{"calls_sent_on", Counter, "calls", "Calls of peers that this node sent on to a server that the newest configuration targets."},
	{"once_runs", Counter, "runs", "Runs of once-only calls started by this home node."},
	{"once_joined", Counter, "attempts", "Retries joined to a call in flight."},
	{"once_replayed", Counter, "attempts", "Retries answered from the recorded response."},
	{"once_delegated", Counter, "runs", "Runs that this home node delegated to another backend server."},
	{"once_unknown", Counter, "attempts", "Attempts for which this home node answered that the outcome is unknown."},
	{"control_bytes", Counter, "bytes", "Control messages sent and received, without transport headers."},
	{"config_version", Gauge, "version", "Configuration version in force."},
	{"limit", Gauge, "calls", "Concurrency limit of the backend server."},
	{"running", Gauge, "calls", "Calls in flight at the backend server."},
	{"queued", Gauge, "calls", "Calls waiting for the backend server."},
	{"level", Gauge, "priority", "Admission level of the backend server; tier times 2^24 plus rank."},
	{"call_time", Histogram, "microseconds", "Time from a call's arrival to its response, at the home node or the backend server."},
	{"queue_time", Histogram, "microseconds", "Queueing time of calls that were started."},
}

// sampleSize and sampleAlpha are the usual size and decay factor of a forward-decaying sample.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Set holds the current values of a daemon's metrics. Its methods take names of the table Metrics only; other names panic.
type Set struct {
	registry metrics.Registry
	counters map[string]metrics.Counter
	gauges   map[string]metrics.Gauge
	hists    map[string]metrics.Histogram
}

// NewSet returns a Set with every metric of the table, all zero.
func NewSet() *Set {
	s := &Set{
		registry: metrics.NewRegistry(),
		counters: map[string]metrics.Counter{},
		gauges:   map[string]metrics.Gauge{},
		hists:    map[string]metrics.Histogram{},
	}
	for _, m := range Metrics {
		switch m.Kind {
		case Counter:
			s.counters[m.Name] = metrics.NewRegisteredCounter(m.Name, s.registry)
		case Gauge:
			s.gauges[m.Name] = metrics.NewRegisteredGauge(m.Name, s.registry)
		case Histogram:
			s.hists[m.Name] = metrics.NewRegisteredHistogram(m.Name, s.registry,
				metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		}
	}
	return s
}

// Inc adds one to a counter of the table.
func (s *Set) Inc(name string) { s.counters[name].Inc(1) }

// Add adds n to a counter of the table.
func (s *Set) Add(name string, n int64) { s.counters[name].Inc(n) }

// Count returns the value of a counter of the table.
func (s *Set) Count(name string) int64 { return s.counters[name].Count() }

// Set sets a gauge of the table.
func (s *Set) Set(name string, v int64) { s.gauges[name].Update(v) }

// Observe adds a value to a histogram of the table.
func (s *Set) Observe(name string, v int64) { s.hists[name].Update(v) }

// WriteJSON writes all metrics to w as one JSON object.
func (s *Set) WriteJSON(w io.Writer) { metrics.WriteJSONOnce(s.registry, w) }

// quantiles lists the quantiles of a histogram that WriteText writes.
var quantiles = []float64{0.5, 0.9, 0.99}

// WriteText writes all metrics to w in the Prometheus text format, sorted by name; histograms are written as summaries.
func (s *Set) WriteText(w io.Writer) {
	list := slices.SortedFunc(slices.Values(Metrics), func(a, b Info) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range list {
		name := "rockspoke_" + m.Name
		kind := strings.Replace(string(m.Kind), string(Histogram), "summary", 1)
		fmt.Fprintf(w, "# HELP %s %s Unit: %s.\n# TYPE %s %s\n", name, m.Help, m.Unit, name, kind)
		switch m.Kind {
		case Counter:
			fmt.Fprintf(w, "%s %d\n", name, s.counters[m.Name].Count())
		case Gauge:
			fmt.Fprintf(w, "%s %d\n", name, s.gauges[m.Name].Value())
		case Histogram:
			h := s.hists[m.Name].Snapshot()
			for _, q := range quantiles {
				fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, h.Percentile(q))
			}
			fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, h.Sum(), name, h.Count())
		}
	}
}
