package mesh

import (
	"errors"
	"net/http"

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
