package mesh

import (
	"errors"
	"net/http"
	"runtime/metrics"

	"github.com/rockspoke/rockspoke/pkg/httpconn"
	"github.com/rockspoke/rockspoke/pkg/logging"
)

// noteBrokenAnswer counts and logs an answer of a backend server or another node that began and is no valid, whole answer; sender is "server"
// or "node".
func (n *Node) noteBrokenAnswer(q *request, sender, host string, err error) {
	var e *httpconn.Error
	if !errors.As(err, &e) || e.Kind != httpconn.BrokenAnswer {
		return
	}
	n.metrics.count("answers_broken_total", "sender", sender)
	if !logging.IsLimited(n.callLog, "broken answer") {
		n.callLog.Warn("broken answer", "request", q.id, "route", q.Route, "sender", sender, "host", host, "err", e.Cause)
	}
}

// writeAnswer writes the answer to a request to w. If its body ends early the connection is closed, so that the receiver detects it.
func (n *Node) writeAnswer(w http.ResponseWriter, id, route string, a *answer) {
	err := a.write(w)
	if err == nil {
		return
	}
	n.metrics.count("answers_cut_total")
	if !logging.IsLimited(n.callLog, "answer cut") {
		n.callLog.Info("answer cut", "request", id, "route", route, "err", err)
	}
	panic(http.ErrAbortHandler) // net/http closes the connection without ending the body
}

// memoryMetrics are the runtime's metrics whose difference is the memory that the process holds.
var memoryMetrics = [...]string{"/memory/classes/total:bytes", "/memory/classes/heap/released:bytes"}

// heldMemory returns the bytes of memory that the Go runtime has from the system and hasn't given back.
func heldMemory() int64 {
	samples := []metrics.Sample{{Name: memoryMetrics[0]}, {Name: memoryMetrics[1]}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
