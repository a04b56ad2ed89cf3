package mesh

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/docpage"
)

func TestPageHasEveryMetricAndNoOther(t *testing.T) {
	c := qt.New(t)
	rows, err := docpage.Rows("../../docs/METRICS-MESH.md")
	c.Assert(err, qt.IsNil)
	var want []string
	for _, m := range Metrics {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s |", m.Name, m.Kind, m.Labels, m.Help))
	}
	c.Assert(rows, qt.DeepEquals, want)
}

func TestMetricsAsText(t *testing.T) {
	c := qt.New(t)
	var m nodeMetrics
	m.init()
	m.count("requests_total", "route", "r", "service", "s", "outcome", "ran", "reason", "")
	m.gauge(7, "state_version")
	m.observe(30*time.Millisecond, "request_seconds", "route", "r")
	var b bytes.Buffer
	m.writeText(&b)
	for _, line := range []string{
		`rockspoke_requests_total{route="r",service="s",outcome="ran",reason=""} 1`,
		"rockspoke_state_version 7", `rockspoke_request_seconds{route="r",quantile="0.5"} 0.03`,
		`rockspoke_request_seconds_count{route="r"} 1`,
	} {
		c.Assert(b.String(), qt.Contains, line)
	}
}

func TestLabelSetsAreBounded(t *testing.T) {
	c := qt.New(t)
	var m nodeMetrics
	m.init()
	for i := range 3 * maxSeries {
		m.count("requests_total", "route", fmt.Sprint(i))
	}
	var b bytes.Buffer
	m.writeText(&b)
	c.Assert(strings.Count(b.String(), "rockspoke_requests_total{") <= maxSeries+1, qt.IsTrue)
	c.Assert(b.String(), qt.Contains, fmt.Sprintf(`rockspoke_requests_total{other="true"} %d`, 2*maxSeries))
}
