package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/repeat"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// pathToken is where a caller gets a token for a once-only request; the query names the service.
const pathToken = "/.rockspoke/token"

// startHTTP binds the listeners for callers and for the backend server's outbound calls.
func (n *Node) startHTTP() (err error) {
	if a := n.cfg.Listen.Callers; a != "" {
		if n.callers, err = n.serveHTTP("listen.callers", a, n.serveCaller); err != nil {
			return err
		}
	}
	if a := n.cfg.Listen.Outbound; a != "" {
		n.outbound, err = n.serveHTTP("listen.outbound", a, n.serveOutbound)
	}
	return err
}

// serveHTTP binds a listener and serves it; field is the setting that names its address.
func (n *Node) serveHTTP(field, address string, h http.HandlerFunc) (*http.Server, error) {
	ln, err := n.network.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", field, err)
	}
	s := &http.Server{
		Handler: h, ReadTimeout: n.cfg.Limits.SlowCaller, MaxHeaderBytes: n.cfg.Limits.HeaderBytes,
		IdleTimeout: time.Minute,
	}
	go func() {
		err := s.Serve(newLimitListener(ln, n.cfg.Limits.Connections))
		if err != nil && !errors.Is(err, http.ErrServerClosed) && n.ctx.Err() == nil {
			n.log.call.Error("listener ended", "field", field, "err", err)
		}
	}()
	return s, nil
}

// serveCaller handles a caller's HTTP request.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	n.metrics.Inc("entry_requests")
	wire.StripInternalExcept(r.Header, wire.HeaderTimeout)
	if r.URL.Path == pathToken {
		n.serveToken(w, r)
		return
	}
	n.running.Add(1)
	defer n.running.Add(-1)
	a := n.handleCaller(r)
	defer a.discardRest()
	switch a.meta.Outcome {
	case wire.NotRun:
		n.metrics.Inc("entry_refused")
	case wire.Unknown:
		n.metrics.Inc("entry_unknown")
	}
	n.writeToCaller(w, a)
}

// handleCaller validates a caller's request, finds its route and sends it as a root request.
func (n *Node) handleCaller(r *http.Request) *answer {
	timeout, err := parseTimeout(r.Header)
	key := r.Header.Get(wire.HeaderIdempotencyKey)
	if err == nil {
		err = validateKey(key)
	}
	var q *request
	if err == nil {
		q, err = readRequest(r, n.cfg.Limits.RequestBytes)
	}
	if err != nil {
		return badRequestAnswer(err)
	}
	n.awaitServers(r.Context())
	plan := n.snapshot.Load().plan
	if plan == nil {
		return refuseUntreated(key, wire.ReasonNoServer, time.Second)
	}
	t, _ := plan.RequestTreatment(q.match())
	if t == nil {
		return refuseUntreated(key, wire.ReasonNoRoute, 0)
	}
	if timeout == 0 || timeout > t.Timeout {
		timeout = t.Timeout
	}
	q.header.Del(wire.HeaderTimeout)
	return n.sendGuarded(r.Context(), t, q, key, customerOf(r), timeout)
}

// refuseUntreated returns the refusal of a request for which this node has no treatment. Under a key it may be once-only work that ran
// through another entry, or by an earlier configuration, so the refusal can't say "not run".
func refuseUntreated(key string, reason wire.Reason, after time.Duration) *answer {
	a := notRunAnswer(reason, after)
	if key != "" {
		a.meta.Outcome = wire.Unknown
	}
	return a
}

// sendGuarded sends a root request unless it is a retry by the caller that joins an attempt in flight or exceeds the
// retry budget.
func (n *Node) sendGuarded(ctx context.Context, t *config.Treatment, q *request, key, customer string, timeout time.Duration) *answer {
	now := n.clock.Now()
	deadline := now.Add(timeout)
	v, e, flight := n.guard.Begin(now, repeat.Attempt{
		Key: key, Customer: customer, OnceOnly: t.OnceOnly, RetryTokens: t.Retries, RetryShare: t.RepeatShare,
	})
	if v != repeat.FirstAttempt {
		n.metrics.Inc("entry_repeats")
	}
	switch v {
	case repeat.Join:
		return n.awaitFlight(ctx, flight, deadline)
	case repeat.OverRetryShare, repeat.BudgetSpent:
		n.metrics.Inc("entry_repeats_refused")
		a := notRunAnswer(wire.ReasonRetryBudget, n.jitter(2*defaultRetryAfter))
		if _, sent := n.guard.TokensLeft(e); t.OnceOnly || sent {
			// An earlier attempt may have run or be on its way; its outcome isn't looked up for a retry over the budget.
			a.meta.Outcome = wire.Unknown
		}
		return a
	}
	// A caller's retry is the same root request, through whichever entry it comes: it gets the same rank, and the
	// once-only calls below it derive the same keys.
	root := uuid.NewString()
	if key != "" {
		root = onceonly.RootRequestID(t.Service, key)
	}
	s := &outgoingCall{
		treatment: t, deadline: deadline, req: q, ledger: e.Ledger,
		resolve: func(p *config.Plan) *config.Treatment {
			t, _ := p.RequestTreatment(q.match())
			return t
		},
		onAttempt: func() { n.guard.MarkForwarded(e) },
		call: wire.Call{
			RootID: root, Service: t.Service, Class: t.Class,
			Priority: priority.New(t.Tier, root, now),
		},
	}
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(n.clock.Now()))
	a := n.sendRoot(ctx, s, key)
	switch {
	case a.meta.Outcome == wire.Unknown:
		n.guard.MarkUncertain(e)
	case a.meta.Outcome == wire.NotRun && !t.OnceOnly && n.guard.Uncertain(e):
		a.meta.Outcome = wire.Unknown // an earlier attempt may run yet
	}
	if a.rest != nil {
		a.rest = &cancelReader{ReadCloser: a.rest, cancel: cancel}
		n.guard.End(n.clock.Now(), e, nil)
		return a
	}
	cancel()
	n.guard.End(n.clock.Now(), e, a)
	if key != "" && !t.OnceOnly && (a.meta.Outcome != wire.Ran || a.status >= http.StatusInternalServerError) {
		n.queueRetryNote(key, e)
	}
	return a
}

// sendRoot sends a root request; once-only work without the caller's key gets a token.
func (n *Node) sendRoot(ctx context.Context, s *outgoingCall, key string) *answer {
	if !s.treatment.OnceOnly {
		return n.send(ctx, s)
	}
	s.call.Key = key
	s.otherAttempts = key != ""
	if key == "" {
		var ok bool
		if s.call.Key, ok = n.newTokenFor(s); !ok {
			return notRunAnswer(wire.ReasonNoServer, 0)
		}
	}
	return n.send(ctx, s)
}

// awaitFlight waits for an attempt of the same request that is in flight and returns a copy of its answer.
func (n *Node) awaitFlight(ctx context.Context, f *repeat.InFlight, deadline time.Time) *answer {
	t := time.NewTimer(deadline.Sub(n.clock.Now()))
	defer t.Stop()
	select {
	case <-f.Done:
		if a, ok := f.Result.(*answer); ok && a != nil {
			shared := *a
			shared.header = a.header.Clone()
			return &shared
		}
		return unknownAnswer(wire.ReasonInProgress)
	case <-ctx.Done():
	case <-t.C:
	}
	return unknownAnswer(wire.ReasonInProgress)
}

// badRequestAnswer returns the answer to an invalid request, with the status of a *RequestError.
func badRequestAnswer(err error) *answer {
	a := notRunAnswer(wire.ReasonBadRequest, 0)
	var bad *RequestError
	if errors.As(err, &bad) {
		a.status = bad.Status
	}
	a.header = http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	a.body = []byte(err.Error() + "\n")
	return a
}

// parseTimeout returns the time limit in the caller's headers, 0 if there is none; the error is a *RequestError.
func parseTimeout(h http.Header) (time.Duration, error) {
	s := h.Get(wire.HeaderTimeout)
	if s == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(s, 10, 32)
	if err != nil || ms <= 0 {
		return 0, &RequestError{http.StatusBadRequest, wire.HeaderTimeout + " must be a number of milliseconds above 0"}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// customerOf identifies the customer by its credentials, or by its address if it sends none.
func customerOf(r *http.Request) string {
	if c := r.Header.Get("Authorization"); c != "" {
		return c
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// serveToken issues a token for one once-only request, which may be sent through any entry.
func (n *Node) serveToken(w http.ResponseWriter, r *http.Request) {
	plan := n.snapshot.Load().plan
	service := r.URL.Query().Get("service")
	if plan == nil || plan.Service(service) == nil {
		http.Error(w, fmt.Sprintf("there is no service %q; give one as ?service=NAME", service), http.StatusNotFound)
		return
	}
	t := plan.CallTreatment(service, config.Match{Method: http.MethodPost})
	token, ok := n.newToken(t, priority.Max)
	if !ok {
		w.Header().Set(headerRetryAfter, "1")
		http.Error(w, "no backend server can be a home now", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintln(w, token) // a caller that disconnected needs no token
}
