package mesh

import (
	"errors"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/logging"
	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// outboundHandler returns the handler for clients and for the backend server on this VM.
func (n *Node) outboundHandler() http.Handler { return http.HandlerFunc(n.serveOutbound) }

// serveOutbound matches the request to a route, authenticates it, checks quota and admission, and forwards it.
func (n *Node) serveOutbound(w http.ResponseWriter, r *http.Request) {
	done := n.stop.beginRequest()
	defer done()
	state := n.state.Load()
	for state == nil && n.pollDuringStartup(r.Context()) {
		state = n.state.Load()
	}
	if state == nil {
		n.refuseUnrouted(w, r, wire.ReasonNoRoute, http.StatusServiceUnavailable)
		return
	}
	n.awaitLearned(r.Context())
	route := state.Match(r.Host, r.RequestURI)
	if route == nil {
		n.refuseNoRoute(w, r)
		return
	}
	if route.Unusable {
		n.refuseUnrouted(w, r, wire.ReasonInvalidEntry, http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get(n.names.AttemptID) == "" {
		n.refuseUnrouted(w, r, wire.ReasonBadRequest, http.StatusBadRequest)
		return
	}
	state, route = n.awaitFreshnessProof(r, state, route)
	if route == nil {
		n.refuseNoRoute(w, r)
		return
	}
	if n.ranAheadWrongly(r, route) {
		n.refuseUnrouted(w, r, wire.ReasonStaleState, http.StatusServiceUnavailable)
		return
	}
	if route.Unusable {
		n.refuseUnrouted(w, r, wire.ReasonInvalidEntry, http.StatusServiceUnavailable)
		return
	}
	team, refusal := n.authenticate(r, state, route)
	if refusal != nil {
		n.refuseKey(w, r, route, refusal)
		return
	}
	q, err := n.newRequest(w, r, n.newPeerCall(state, route), false, state.Limits.BodyBytes)
	defer n.releaseBodies(q)
	if err != nil {
		n.refuseBody(w, r, err)
		return
	}
	n.assignTeam(q, state, team)
	if a := n.takeQuotaToken(r.Context(), q); a != nil {
		n.writeFinal(w, q, a)
		return
	}
	n.stats.noteEntry(n.clock.Now(), q.kind(), q.clientDeadline)
	if q.Internal {
		n.noteCall(q)
	}
	if a := n.entryRefusal(q, route); a != nil {
		n.returnQuotaToken(q)
		n.writeFinal(w, q, a)
		return
	}
	n.serveRouted(w, r, q, route)
}

// newPeerCall returns the metadata that is sent with a request of the route to the node of the chosen server.
func (n *Node) newPeerCall(state *desired.State, route *desired.Route) peerCall {
	return peerCall{
		Service: n.pickTargetService(route), Route: route.Name, Caller: n.cfg.Service, Priority: route.Priority,
		Internal: n.isInternalRoute(route.Name), Once: route.Kind == desired.AtMostOnce, Version: state.Version, ReadsNotices: true, ReadsPace: !n.off[settings.ServerPace],
	}
}

// entryRefusal returns the answer to a request that isn't admitted, or nil if it is. New requests are rejected late in
// a planned stop or when they may outlast it, when they are quarantined, and by admission.
func (n *Node) entryRefusal(q *request, route *desired.Route) *answer {
	if !q.Internal && (n.stop.refusesClients() || n.mayOutlastStop(q, n.finalDeadline(q, route))) {
		return notRunAnswer(wire.ReasonLeaving)
	}
	if d := n.suspectDecision(q); d.Treatment == poison.Quarantined {
		return n.quarantineRefusal(q, d)
	}
	if !n.admit(q, q.deadline.Sub(n.clock.Now())) {
		a := notRunAnswer(wire.ReasonBelowLevel)
		a.overloaded = true
		return a
	}
	return nil
}

// serveRouted forwards an admitted request and writes its answer.
func (n *Node) serveRouted(w http.ResponseWriter, r *http.Request, q *request, route *desired.Route) {
	if end := n.finalDeadline(q, route); end.Before(q.deadline) {
		q.reserve = q.reserve.Within(q.deadline.Sub(end))
		q.deadline = end
	}
	if n.refuseShortRoot(q) {
		n.returnQuotaToken(q)
		n.writeFinal(w, q, notRunAnswer(wire.ReasonDeadline))
		return
	}
	ctx, cancel := n.timeLimits.Context(r.Context(), n.clock, q.deadline)
	defer cancel()
	n.depositRetryBudget(q)
	started := n.clock.Now()
	d := &delivery{n: n, q: q, route: route}
	a := d.run(ctx)
	if a.outcome == wire.Ran {
		took := n.clock.Now().Sub(started)
		n.metrics.observe(took, "request_seconds", "route", route.Name)
		n.learnTime(q, a, took)
	}
	if a.outcome != wire.Ran && r.Context().Err() == nil && !logging.IsLimited(n.callLog, "not served") {
		n.callLog.Info("not served", "request", q.id, "route", route.Name, "service", q.Service, "outcome", a.outcome,
			"reason", a.reason, "arrivals", d.arrivals, "tried", len(d.tried), "version", q.Version, "inner", q.Internal)
	}
	streamed := a.stream != nil
	n.writeFinal(w, q, a)
	if streamed {
		n.learnStreamTime(q, n.clock.Now().Sub(started))
	}
}

// finalDeadline returns the earlier one of the request's own deadline and that of its route.
func (n *Node) finalDeadline(q *request, route *desired.Route) time.Time {
	if end := n.clock.Now().Add(route.Timeout); route.Timeout > 0 && end.Before(q.deadline) {
		return end
	}
	return q.deadline
}

// refuseNoRoute answers a request that no route matches: with 404, or with 503 while the desired state may be out of
// date, since a newer one may have the route.
func (n *Node) refuseNoRoute(w http.ResponseWriter, r *http.Request) {
	if !n.stateIsFresh() {
		n.refuseUnrouted(w, r, wire.ReasonNoRoute, http.StatusServiceUnavailable)
		return
	}
	n.refuseUnrouted(w, r, wire.ReasonNoRoute, http.StatusNotFound)
}

// refuseBody answers a request whose body is too long, ended early or stalled, or for whose body this node has no memory.
func (n *Node) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	var b *bodyError
	if errors.As(err, &b) {
		status = b.status
	}
	n.refuseUnrouted(w, r, bodyRefusal(err), status)
}

// bodyRefusal returns the reason of a refusal for a *bodyError.
func bodyRefusal(err error) wire.Reason {
	if errors.Is(err, errBodyBytes) {
		return wire.ReasonBodyBytes
	}
	return wire.ReasonBadRequest
}

// oldStateRetryDelay is the mean retry delay for a request whose key can't be checked, or whose route or team is invalid in the desired
// state. The store is then unavailable, or the operator has to mend the entry, which lasts longer than an overload.
const oldStateRetryDelay = time.Second

// retryDelayFor returns the mean delay after which a client should retry a refusal for the reason.
func retryDelayFor(reason wire.Reason) time.Duration {
	if reason == wire.ReasonStaleState || reason == wire.ReasonInvalidEntry {
		return oldStateRetryDelay
	}
	return minRetryDelay
}

// refuseUnrouted refuses a request before it is routed to a service, with the reason and HTTP status.
func (n *Node) refuseUnrouted(w http.ResponseWriter, r *http.Request, reason wire.Reason, status int) {
	id := r.Header.Get(n.names.AttemptID)
	if !logging.IsLimited(n.callLog, "refused") {
		n.callLog.Info("refused", "request", id, "host", r.Host, "path", r.URL.Path, "reason", reason, "status", status)
	}
	h := w.Header()
	if id != "" {
		h.Set(n.names.AttemptID, id)
	}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", formatRetryAfter(n.jitter(retryDelayFor(reason))))
	}
	if n.stop.stopping() {
		h.Set("Connection", "close")
	}
	h.Set(wire.HeaderReason, string(reason))
	w.WriteHeader(status)
}

// pickTargetService returns one of the route's target services, chosen at random by weight.
func (n *Node) pickTargetService(r *desired.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	k := n.rnd().IntN(total)
	for _, t := range r.Targets {
		if k -= t.Weight; k < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}
