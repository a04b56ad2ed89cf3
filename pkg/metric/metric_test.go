package metric

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/docpage"
)

func TestDocumentationListsExactlyTheMetrics(t *testing.T) {
	c := qt.New(t)
	rows, err := docpage.Rows("../../docs/METRICS.md")
	c.Assert(err, qt.IsNil)
	var want []string
	for _, m := range Metrics {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s |", m.Name, m.Kind, m.Unit, m.Help))
	}
	c.Assert(rows, qt.DeepEquals, want)
}

func TestWriteText(t *testing.T) {
	c := qt.New(t)
	s := NewSet()
	s.Inc("retries")
	s.Set("limit", 7)
	s.Observe("call_time", 100)
	var b bytes.Buffer
	s.WriteText(&b)
	for _, line := range []string{
		"# TYPE rockspoke_retries counter\nrockspoke_retries 1\n",
		"# TYPE rockspoke_limit gauge\nrockspoke_limit 7\n",
		"# TYPE rockspoke_call_time summary\n", "rockspoke_call_time{quantile=\"0.99\"} 100\n", "rockspoke_call_time_count 1\n",
	} {
		c.Assert(strings.Contains(b.String(), line), qt.IsTrue, qt.Commentf("%q", line))
	}
}
