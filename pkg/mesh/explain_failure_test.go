package mesh

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/logging"
	"github.com/rockspoke/rockspoke/pkg/overload"
	"github.com/rockspoke/rockspoke/pkg/trace"
)

// logBuffer collects the nodes' log output.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// linesWith returns the lines that contain one of the texts.
func (l *logBuffer) linesWith(texts ...string) string {
	var found strings.Builder
	for line := range strings.Lines(l.String()) {
		if slices.ContainsFunc(texts, func(s string) bool { return strings.Contains(line, s) }) {
			found.WriteString(line)
		}
	}
	return found.String()
}

// linesOf returns the log lines about a request.
func (l *logBuffer) linesOf(c *qt.C, id string) []trace.Line {
	return trace.Timeline(l.lines(c), id)
}

// lines returns all log lines.
func (l *logBuffer) lines(c *qt.C) []trace.Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines, skipped, err := trace.Read("log", bytes.NewReader(l.b.Bytes()))
	c.Assert(err, qt.IsNil)
	c.Assert(skipped, qt.HasLen, 0)
	return lines
}

// logTo makes all nodes write their call log to the buffer in the production format.
func (s *site) logTo(log *logBuffer) {
	factory := logging.Factory{W: log, Clock: clock.Real{}, JSON: true, PerSecond: 1000}
	for _, n := range s.nodes {
		n.callLog = factory.Logger("call").With("node", n.ip)
	}
}

// hasLine reports whether one of the lines has the message and the value of the field.
func hasLine(lines []trace.Line, msg, field, value string) bool {
	for _, l := range lines {
		if l.Msg == msg && fmt.Sprint(l.Fields[field]) == value {
			return true
		}
	}
	return false
}

// Three failed requests can each be explained by id from logs and metrics alone.
func TestFailuresCanBeExplainedFromLogsAndMetrics(t *testing.T) {
	c := qt.New(t)
	log := &logBuffer{}
	s := newSite(t)
	for i := range 3 {
		s.add("a", fmt.Sprint("z", i), 10)
	}
	s.logTo(log)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{
		route("read", desired.Repeatable, "a"), route("pay", desired.AtMostOnce, "a"),
	}})
	s.waitUntilKnown(1)

	// Rejected by admission at the entry node.
	n := s.nodes[0]
	rejectAll := &admissionPlan{shares: map[string]overload.Share{"read": {}}}
	s.waitFor("refused by admission", func() bool {
		n.plan.Store(rejectAll) // the next plan, a moment later, admits all requests again
		status, _, _ := s.request(0, http.MethodGet, "/read/x", "over", time.Second)
		return status == http.StatusServiceUnavailable
	})
	c.Assert(hasLine(log.linesOf(c, "over"), "call: not admitted", "fresh_share", "0"), qt.IsTrue)
	c.Assert(metricsText(n), qt.Contains, `rockspoke_requests_total{route="read",service="a",outcome="not-run",reason="level"}`)

	// The answer to a once-only request is lost.
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) { closeConnection(w) })
	s.request(0, http.MethodPost, "/pay/x", "lost", time.Second)
	lines := log.linesOf(c, "lost")
	c.Assert(hasLine(lines, "call: not served", "outcome", "unknown"), qt.IsTrue)
	c.Assert(hasLine(lines, "call: not served", "arrivals", "1"), qt.IsTrue)
	c.Assert(metricsText(n), qt.Contains, `rockspoke_requests_total{route="pay",service="a",outcome="unknown",reason="lost"}`)

	// All servers are stopping: the request is tried at each and refused.
	for i := range s.nodes {
		s.nodes[i].gateMu.Lock()
		s.nodes[i].gate.Close()
		s.nodes[i].gateMu.Unlock()
	}
	s.request(0, http.MethodPost, "/pay/x", "gone", time.Second)
	lines = log.linesOf(c, "gone")
	c.Assert(hasLine(lines, "call: request retried", "reason", "leaving"), qt.IsTrue)
	c.Assert(hasLine(lines, "call: not served", "tried", "3"), qt.IsTrue)
}

// metricsText returns the metrics of a node in the Prometheus text format.
func metricsText(n *Node) string {
	var b bytes.Buffer
	n.metrics.writeText(&b)
	return b.String()
}
