package mesh

import (
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// inboundHandler serves other nodes: their requests to this VM's backend server, and exchanges.
func (n *Node) inboundHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerCall) != "" {
			n.serveInbound(w, r)
			return
		}
		switch r.URL.Path {
		case exchangePath:
			n.serveExchange(w, r)
		case proofPath:
			n.serveProof(w, r)
		case handoverPath:
			n.serveHandover(w, r)
		case quotaPath:
			n.serveQuota(w, r)
		case inProgressPath:
			n.serveInProgress(w, r)
		default:
			n.serveInbound(w, r)
		}
	})
}

func (n *Node) serveInbound(w http.ResponseWriter, r *http.Request) {
	c, err := parseCall(r.Header.Get(headerCall))
	if err != nil {
		n.callLog.Warn("peer request refused", "err", err, "peer", r.RemoteAddr)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	done := n.stop.begin()
	defer done()
	defer n.present.Start(r.Header.Get(n.names.AttemptID))()
	n.noteVersion(r.RemoteAddr, c.Version)
	if n.stop.refusesPeers() {
		n.reply(w, refused(wire.ReasonLeaving))
		return
	}
	q, err := n.newRequest(r, c, 0)
	var a *answer
	if err != nil {
		a = refused(wire.ReasonBadRequest)
	} else {
		ctx, cancel := n.limits.Context(r.Context(), n.clock, q.deadline.Add(inboundGrace))
		defer cancel()
		a = n.backend.serve(ctx, q)
	}
	n.reply(w, a)
}

// inboundGrace is how long past a request's deadline the answer is still awaited: the sender's own clock
// ends it, and a little delay on the way must not break off what is just ready.
const inboundGrace = 100 * time.Millisecond

// reply answers the node that sent a request.
func (n *Node) reply(w http.ResponseWriter, a *answer) {
	w.Header().Set(headerReply, n.replyHeader(a).encode())
	if n.stop.leaving() {
		w.Header().Set("Connection", "close")
	}
	if a.outcome == wire.Ran {
		a.header.Del(n.names.AttemptID) // the other side knows it
		a.write(w)
		return
	}
	w.Header()["Content-Type"] = nil
	w.Header()["Date"] = nil
	w.WriteHeader(http.StatusServiceUnavailable)
}

// replyHeader puts the load of this VM's server beside what became of a request.
func (n *Node) replyHeader(a *answer) reply {
	n.gateMu.Lock()
	g := n.gate.Read()
	n.gateMu.Unlock()
	return reply{
		Outcome: a.outcome, Reason: a.reason, ByServer: a.arrived,
		Running: g.Running, Queued: g.Queued, Limit: int(g.Limit), Pace: int(g.Pace*100 + 0.5),
		Success: int(g.Success*(1-g.Shed)*100 + 0.5), Stopping: n.stop.leaving(), Gone: a.gone, Version: n.stateVersion(),
		Ended: a.ended, ComeBack: a.comeBack,
	}
}

// newRequest reads a request; most bounds its body, 0 for no bound.
func (n *Node) newRequest(r *http.Request, c call, most int64) (*request, error) {
	q := &request{
		call: c, id: r.Header.Get(n.names.AttemptID), method: r.Method, uri: r.RequestURI, host: r.Host,
		header: endToEnd(r.Header),
	}
	left := millis(r.Header.Get(n.names.TimeLeft))
	if left == 0 {
		left = defaultTimeLeft
	}
	q.deadline = n.clock.Now().Add(left)
	q.clientDeadline = q.deadline
	return q, q.readBody(r, most)
}
