package mesh

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// writeText writes all metrics in the Prometheus text format.
func (m *nodeMetrics) writeText(w io.Writer) {
	for _, info := range Metrics {
		kind := strings.Replace(info.Kind, "histogram", "summary", 1)
		fmt.Fprintf(w, "# HELP rockspoke_%s %s\n# TYPE rockspoke_%s %s\n", info.Name, info.Help, info.Name, kind)
		m.writeSeries(w, info)
	}
}

// writeSeries writes the lines of one metric, sorted.
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
		lines = append(lines, m.histogramLines(info.Name)...)
	}
	slices.SortFunc(lines, cmp.Compare[string])
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
}

// histogramLines returns the lines of a histogram's label sets.
func (m *nodeMetrics) histogramLines(name string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lines []string
	for key, h := range m.histograms {
		if base, labels, _ := strings.Cut(key, "{"); base == name {
			lines = append(lines, quantileLines(name, strings.TrimSuffix(labels, "}"), h)...)
		}
	}
	return lines
}

// quantileLines returns the quantiles, in seconds, and the count of one label set.
func quantileLines(name, labels string, h *hdrhistogram.Histogram) []string {
	var lines []string
	for _, q := range []float64{50, 90, 99} {
		v := time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
		lines = append(lines, fmt.Sprintf("rockspoke_%s{%s,quantile=\"%g\"} %g", name, labels, q/100, v.Seconds()))
	}
	return append(lines, fmt.Sprintf("rockspoke_%s_count{%s} %d", name, labels, h.TotalCount()))
}
