package mesh

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// outboundHandler serves clients and the backend server on this VM.
func (n *Node) outboundHandler() http.Handler { return http.HandlerFunc(n.serveOutbound) }

// serveOutbound finds the route of a request.
func (n *Node) serveOutbound(w http.ResponseWriter, r *http.Request) {
	done := n.stop.begin()
	defer done()
	state := n.state.Load()
	for state == nil && n.awaitNews(r.Context()) {
		state = n.state.Load()
	}
	if state == nil {
		n.refuseUnrouted(w, r, wire.ReasonNoRoute, http.StatusServiceUnavailable)
		return
	}
	n.awaitLearned(r.Context())
	route := state.Match(r.Host, r.RequestURI)
	if route == nil {
		n.noRoute(w, r)
		return
	}
	if r.Header.Get(n.names.AttemptID) == "" {
		n.refuseUnrouted(w, r, wire.ReasonBadRequest, http.StatusBadRequest)
		return
	}
	state, route = n.awaitProof(r, state, route)
	if route == nil {
		n.noRoute(w, r)
		return
	}
	team, refusal := n.identify(r, state, route)
	if refusal != nil {
		n.refuseKey(w, r, route, refusal)
		return
	}
	q, err := n.newRequest(r, n.callOf(state, route), state.Limits.BodyBytes)
	if err != nil {
		n.refuseBody(w, r, err)
		return
	}
	n.nameTeam(q, state, team)
	if a := n.checkQuota(r.Context(), q); a != nil {
		n.writeFinal(w, q, a)
		return
	}
	n.stats.noteEntry(n.clock.Now(), q.kind(), q.clientDeadline)
	if q.Inner {
		n.stats.noteCall(n.clock.Now(), route.Name, q.clientDeadline)
	}
	if a := n.refuseEntry(q); a != nil {
		n.giveBackQuota(q)
		n.writeFinal(w, q, a)
		return
	}
	n.serveRouted(w, r, q, route)
}

// callOf returns what the chosen server's node is told of a request of the route.
func (n *Node) callOf(state *desired.State, route *desired.Route) call {
	return call{
		Service: pickTarget(route), Route: route.Name, Caller: n.cfg.Service, Priority: route.Priority,
		Inner: n.isInner(route.Name), Once: route.Kind == desired.Once, Version: state.Version,
	}
}

// refuseEntry returns the answer to a request that isn't taken in, or nil: new ones are turned away late in
// a planned stop, and by admission.
func (n *Node) refuseEntry(q *request) *answer {
	if n.stop.refuses() && !q.Inner {
		return refused(wire.ReasonLeaving)
	}
	if j := n.judge(q); j.Treatment == poison.Quarantined {
		return n.heldBack(q, j)
	}
	if !n.admit(q, q.deadline.Sub(n.clock.Now())) {
		a := refused(wire.ReasonLevel)
		a.overloaded = true
		return a
	}
	return nil
}

// serveRouted sends a request that was taken in.
func (n *Node) serveRouted(w http.ResponseWriter, r *http.Request, q *request, route *desired.Route) {
	if route.Timeout > 0 {
		if end := n.clock.Now().Add(route.Timeout); end.Before(q.deadline) {
			q.deadline = end
		}
	}
	ctx, cancel := n.limits.Context(r.Context(), n.clock, q.deadline)
	defer cancel()
	n.earnRepeats(q)
	begun := n.clock.Now()
	d := &delivery{n: n, q: q, route: route}
	a := d.run(ctx)
	if a.outcome == wire.Ran {
		n.metrics.observe(n.clock.Now().Sub(begun), "request_seconds", "route", route.Name)
	}
	if a.outcome != wire.Ran && r.Context().Err() == nil {
		n.callLog.Info("not served", "request", q.id, "route", route.Name, "service", q.Service, "outcome", a.outcome,
			"reason", a.reason, "arrivals", d.arrivals, "tried", len(d.tried), "version", q.Version, "inner", q.Inner)
	}
	n.writeFinal(w, q, a)
}

// noRoute answers a request that no route matches; where the desired state may be old, the route may well exist.
func (n *Node) noRoute(w http.ResponseWriter, r *http.Request) {
	if !n.stateIsFresh() {
		n.refuseUnrouted(w, r, wire.ReasonNoRoute, http.StatusServiceUnavailable)
		return
	}
	n.refuseUnrouted(w, r, wire.ReasonNoRoute, http.StatusNotFound)
}

// refuseBody answers a request whose body is too long or broke off.
func (n *Node) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	var b *bodyError
	if errors.As(err, &b) {
		status = b.status
	}
	n.refuseUnrouted(w, r, wire.ReasonBadRequest, status)
}

// oldStateRetry is when those should come back, on average, whose key can't be judged: the store is away, which takes longer to pass
// than an overload.
const oldStateRetry = time.Second

// retryAfterOf returns when to come back after a refusal, on average.
func retryAfterOf(reason wire.Reason) time.Duration {
	if reason == wire.ReasonOldState {
		return oldStateRetry
	}
	return retryBase
}

// refuseUnrouted answers a request that can't be sent anywhere.
func (n *Node) refuseUnrouted(w http.ResponseWriter, r *http.Request, reason wire.Reason, status int) {
	id := r.Header.Get(n.names.AttemptID)
	n.callLog.Info("refused", "request", id, "host", r.Host, "path", r.URL.Path, "reason", reason, "status", status)
	h := w.Header()
	if id != "" {
		h.Set(n.names.AttemptID, id)
	}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfter(jitter(retryAfterOf(reason))))
	}
	if n.stop.leaving() {
		h.Set("Connection", "close")
	}
	h.Set(wire.HeaderReason, string(reason))
	w.WriteHeader(status)
}

// pickTarget chooses the service of a split route by weight.
func pickTarget(r *desired.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	k := rand.IntN(total)
	for _, t := range r.Targets {
		if k -= t.Weight; k < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}
