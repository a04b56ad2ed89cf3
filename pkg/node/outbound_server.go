package node

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/ledger"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// serveOutbound handles a call from the local backend server; the host names the service.
func (n *Node) serveOutbound(w http.ResponseWriter, r *http.Request) {
	n.metrics.Inc("outbound_calls")
	n.running.Add(1)
	defer n.running.Add(-1)
	id := r.Header.Get(wire.HeaderRequest)
	wire.StripInternal(r.Header)
	q, err := readRequest(r, n.cfg.Limits.RequestBytes)
	if err == nil {
		err = validateKey(q.header.Get(wire.HeaderIdempotencyKey))
	}
	if err != nil {
		n.writeToCaller(w, badRequestAnswer(err))
		return
	}
	n.awaitServers(r.Context())
	plan := n.snapshot.Load().plan
	key := q.header.Get(wire.HeaderIdempotencyKey)
	if plan == nil {
		n.writeToCaller(w, refuseUntreated(key, wire.ReasonNoServer, time.Second))
		return
	}
	t := plan.CallTreatment(q.host, q.match())
	if t == nil {
		n.writeToCaller(w, refuseUntreated(key, wire.ReasonNoRoute, 0))
		return
	}
	var a *answer
	x, inProgress := n.inbounds.Load(id)
	switch {
	case inProgress:
		a = n.sendChild(r.Context(), x.(*inbound), t, q)
	case id != "" && t.OnceOnly && key == "":
		// A retry of the call that it belonged to makes the same call, under a key that can no longer be derived here.
		n.log.call.Info("once-only call of a call that has ended", "id", id, "service", t.Service)
		a = notRunAnswer(wire.ReasonDeadline, 0)
	default:
		a = n.sendRootFromBackend(r.Context(), t, q)
	}
	defer a.discardRest()
	n.writeToCaller(w, a)
}

// sendChild sends a call that belongs to an inbound one, with its priority, deadline and retry tokens.
func (n *Node) sendChild(ctx context.Context, in *inbound, t *config.Treatment, q *request) *answer {
	signature := q.signature(t.Service)
	if !in.ledger.BeginCall(signature) {
		n.metrics.Inc("retries_denied")
		if t.OnceOnly {
			// The earlier call has the same key and may have run; its outcome isn't looked up.
			return unknownAnswer(wire.ReasonRetryBudget)
		}
		return notRunAnswer(wire.ReasonRetryBudget, 0)
	}
	in.beginOutbound(n.clock.Now())
	// The call ends when the backend server cancels it or when the inbound call ends.
	ctx, cancel := context.WithCancel(ctx)
	defer context.AfterFunc(in.ctx, cancel)()
	s := &outgoingCall{treatment: t, resolve: q.callTreatment, deadline: in.deadline, req: q, ledger: in.ledger, call: in.call}
	s.call.Service, s.call.Class, s.call.Delegated, s.call.Key = t.Service, t.Class, false, ""
	var a *answer
	if ok := n.setChildKey(in, s, signature); ok {
		a = n.settleToken(s, n.send(ctx, s))
	} else {
		a = notRunAnswer(wire.ReasonNoServer, 0)
	}
	in.ledger.EndCall(signature, a.meta.Outcome != wire.Ran || a.status >= 500)
	in.endOutbound(n.clock.Now(), signature, a.meta)
	if a.rest != nil {
		a.rest = &cancelReader{ReadCloser: a.rest, cancel: cancel}
	} else {
		cancel()
	}
	return a
}

// setChildKey sets the key of a once-only call: the backend server's own if it sent one, else a token if the parent is
// once-only work, which runs at most once itself, else a key that a retry of the parent derives again. It reports false
// if no token can be issued.
func (n *Node) setChildKey(in *inbound, s *outgoingCall, signature uint64) bool {
	if !s.treatment.OnceOnly {
		return true
	}
	if own := s.req.header.Get(wire.HeaderIdempotencyKey); own != "" && own != in.call.Key {
		s.call.Key = own
		s.otherAttempts = true
		return true
	}
	successes := in.successCount(signature)
	if in.call.Key == "" {
		s.call.Key = onceonly.DeriveKey(in.call.RootID, "", signature, successes)
		s.otherAttempts = true
		return true
	}
	var ok bool
	s.token, s.otherAttempts, ok = in.childToken(signature+uint64(successes), func() (string, bool) { return n.newTokenFor(s) })
	if ok {
		s.call.Key = s.token.key
	}
	return ok
}

// settleToken drops the token of a call that certainly didn't run. If a repeat under the token began meanwhile, that one may run.
func (n *Node) settleToken(s *outgoingCall, a *answer) *answer {
	if s.token == nil || s.otherAttempts || a.meta.Outcome != wire.NotRun || s.token.forget() {
		return a
	}
	s.otherAttempts = true
	return n.outcomeForKey(s, a)
}

// sendRootFromBackend sends a call that belongs to no inbound one, such as one of the backend server's own jobs, as a
// root request.
func (n *Node) sendRootFromBackend(ctx context.Context, t *config.Treatment, q *request) *answer {
	now := n.clock.Now()
	key := q.header.Get(wire.HeaderIdempotencyKey)
	root := uuid.NewString()
	s := &outgoingCall{
		treatment: t, resolve: q.callTreatment, deadline: now.Add(t.Timeout), req: q, ledger: ledger.New(t.Retries),
		call: wire.Call{
			RootID: root, Service: t.Service, Class: t.Class,
			Priority: priority.New(t.Tier, root, now),
		},
	}
	return n.sendRoot(ctx, s, key)
}
