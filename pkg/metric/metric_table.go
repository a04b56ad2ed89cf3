package metric

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Kind is the way in which a metric counts.
type Kind string

// The kinds of metric.
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
	{"entry_refused", Counter, "requests", "Callers' requests refused as not run."},
	{"entry_unknown", Counter, "requests", "Callers' requests answered as unknown."},
	{"entry_repeats", Counter, "requests", "Callers' repeats of a key met before."},
	{"entry_repeats_refused", Counter, "requests", "Callers' repeats refused for want of a share or a token."},
	{"peer_calls", Counter, "calls", "Calls that other daemons sent to this one."},
	{"outbound_calls", Counter, "calls", "Calls that the backend server on this VM made."},
	{"refused_level", Counter, "calls", "Calls refused below the admission level of this backend server."},
	{"refused_queue", Counter, "calls", "Calls refused for waiting too long or evicted."},
	{"refused_deadline", Counter, "calls", "Calls refused for too little time."},
	{"refused_server", Counter, "calls", "Calls that the backend server itself refused."},
	{"refused_local", Counter, "calls", "Calls refused here by what is known of levels below."},
	{"retries", Counter, "calls", "Attempts beyond the first that this daemon made."},
	{"retries_denied", Counter, "calls", "Retries not made for want of a token or a target's share."},
	{"lost_answers", Counter, "calls", "Attempts whose answer was lost."},
	{"once_runs", Counter, "runs", "Runs of once-only work started by this home."},
	{"once_joined", Counter, "attempts", "Repeats joined to a running call."},
	{"once_replayed", Counter, "attempts", "Repeats answered from the record."},
	{"once_delegated", Counter, "runs", "Runs that this home handed to another backend server."},
	{"once_unknown", Counter, "attempts", "Attempts answered as unknown by this home."},
	{"control_bytes", Counter, "bytes", "Control messages sent and received, without transport headers."},
	{"config_version", Gauge, "version", "Configuration version in force."},
	{"limit", Gauge, "calls", "Concurrency limit of the backend server."},
	{"running", Gauge, "calls", "Calls in progress at the backend server."},
	{"queued", Gauge, "calls", "Calls waiting for the backend server."},
	{"level", Gauge, "priority", "Admission level of the backend server; tier times 2^24 plus rank."},
	{"call_time", Histogram, "microseconds", "Time from a call's arrival to its answer at the home or server."},
	{"queue_time", Histogram, "microseconds", "Time that started calls waited in the queue."},
}

// sampleSize and sampleAlpha are the usual size and bias of a forward-decaying sample.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Set is a daemon's metrics in use.
type Set struct {
	registry metrics.Registry
	counters map[string]metrics.Counter
	gauges   map[string]metrics.Gauge
	hists    map[string]metrics.Histogram
}

// NewSet registers every metric of the table.
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

// Count returns a counter's value.
func (s *Set) Count(name string) int64 { return s.counters[name].Count() }

// Set sets a gauge of the table.
func (s *Set) Set(name string, v int64) { s.gauges[name].Update(v) }

// Observe adds a value to a histogram of the table.
func (s *Set) Observe(name string, v int64) { s.hists[name].Update(v) }

// WriteJSON writes all metrics as one JSON object.
func (s *Set) WriteJSON(w io.Writer) { metrics.WriteJSONOnce(s.registry, w) }

// quantiles are those that the text form gives of a histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// WriteText writes all metrics in the text form that scrapers read.
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
