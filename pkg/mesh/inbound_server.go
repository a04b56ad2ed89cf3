package mesh

import (
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// inboundHandler returns the handler for other nodes: their requests to this VM's backend server, exchanges and
// queries.
func (n *Node) inboundHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, isRequest := r.Header[headerCall]; isRequest {
			n.serveInbound(w, r)
			return
		}
		switch r.URL.Path {
		case exchangePath:
			n.serveExchange(w, r)
		case proofPath:
			n.serveProof(w, r)
		case quotaHandoverPath:
			n.serveQuotaHandover(w, r)
		case quotaPath:
			n.serveQuota(w, r)
		case inProgressPath:
			n.serveInProgress(w, r)
		default:
			n.serveInbound(w, r)
		}
	})
}

// serveInbound passes a peer's request to this VM's backend server and writes the answer.
func (n *Node) serveInbound(w http.ResponseWriter, r *http.Request) {
	c, err := parseCall(r.Header.Get(headerCall))
	if err != nil {
		n.callLog.Warn("invalid peer request", "err", err, "peer", r.RemoteAddr)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	done := n.stop.beginRequest()
	defer done()
	id := r.Header.Get(n.names.AttemptID)
	defer n.peerRequests.Start(id)()
	n.noteVersion(r.RemoteAddr, c.Version)
	if n.stop.refusesPeers() {
		n.writeReply(w, id, notRunAnswer(wire.ReasonLeaving), c)
		return
	}
	q, err := n.newRequest(w, r, c, true, 0)
	defer n.releaseBodies(q)
	var a *answer
	switch {
	case err != nil:
		a = notRunAnswer(bodyRefusal(err))
	case n.mayOutlastStop(q, q.deadline):
		a = notRunAnswer(wire.ReasonLeaving)
	default:
		ctx, cancel := n.timeLimits.Context(r.Context(), n.clock, q.deadline.Add(inboundGrace))
		defer cancel()
		n.readKnownLimit(q, r)
		n.readReserve(q, r)
		a = n.backend.serve(ctx, q)
	}
	if a.outcome == wire.Ran {
		q.sendDuringAnswer(w)
	}
	n.writeReply(w, id, a, c)
	q.awaitBody()
}

// inboundGrace is how long after a request's deadline its answer is still awaited. The sender's own clock ends the
// request, and a small network delay must not cut off an answer that is just ready.
const inboundGrace = 100 * time.Millisecond

// writeReply writes the answer to the node that sent the request with the id and the metadata c.
func (n *Node) writeReply(w http.ResponseWriter, id string, a *answer, c peerCall) {
	reply := n.replyHeader(a)
	if !c.ReadsNotices {
		reply.Notice = serverNotice{}
	}
	if !c.ReadsPace {
		reply.Pace = 0
	}
	w.Header().Set(headerReply, reply.encode())
	if n.stop.stopping() {
		w.Header().Set("Connection", "close")
	}
	if a.outcome == wire.Ran {
		a.header.Del(n.names.AttemptID) // the sender knows it
		n.writeAnswer(w, id, c.Route, a)
		return
	}
	w.Header()["Content-Type"] = nil
	w.Header()["Date"] = nil
	w.WriteHeader(http.StatusServiceUnavailable)
}

// replyHeader returns the metadata for an answer, with the current load of this VM's server.
func (n *Node) replyHeader(a *answer) peerReply {
	now := n.clock.Now()
	n.gateMu.Lock()
	g, rate := n.gate.Snapshot(), n.gate.RateLimit(now)
	at, leaving := n.backend.notices.lifetime, n.backend.notices.leaving
	n.gateMu.Unlock()
	return peerReply{
		Outcome: a.outcome, Reason: a.reason, RefusedByServer: a.arrived,
		Running: g.Running, Queued: g.Queued, Limit: int(g.Limit), Slowdown: int(g.Slowdown*100 + 0.5), Pace: int(g.ToldPace*100 + 0.5),
		Success: int(g.SuccessShare*(1-g.ShedShare)*100 + 0.5), Stopping: n.stop.stopping(), NotListening: a.notListening, Version: n.stateVersion(),
		CrashedLifetime: a.crashedLifetime, HasCrashSuccess: a.crashedLifetime != "", CrashSuccess: a.crashSuccess,
		RetryAfter: a.retryAfter, Notice: n.newNotice(now, at, rate, leaving),
		ReadsReserve: !n.off[settings.LatencyBudgets],
	}
}

// newRequest reads a request; maxBytes bounds its body, 0 for no bound. The error is a *bodyError. releaseBodies must be called for it.
func (n *Node) newRequest(w http.ResponseWriter, r *http.Request, c peerCall, fromPeer bool, maxBytes int64) (*request, error) {
	q := &request{
		peerCall: c, fromPeer: fromPeer, id: r.Header.Get(n.names.AttemptID), method: r.Method, uri: r.RequestURI, host: r.Host,
		header: endToEndHeaders(r.Header),
	}
	if !fromPeer {
		n.noteReservedHeaders("client", q.id, r.Header)
	}
	left := parseMillis(r.Header.Get(n.names.TimeLeft))
	if left == 0 {
		left = defaultTimeLeft
	}
	q.deadline = n.clock.Now().Add(left)
	q.clientDeadline = q.deadline
	return q, q.readBody(n, w, r, maxBytes)
}
