package mesh

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/headerpack"
	"github.com/rockspoke/rockspoke/pkg/httpconn"
	"github.com/rockspoke/rockspoke/pkg/logging"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// delivery is the state of one request's attempts at the node where it began.
type delivery struct {
	n             *Node
	q             *request
	route         *desired.Route
	tried         []*peer
	arrivals      int       // attempts that reached, or may have reached, a backend server
	serverFailure *answer   // a server's own failure, which is the answer unless another server succeeds
	lostAttempt   *answer   // an attempt that may have run; after it no refusal is certain
	receivedSince time.Time // after a lost attempt, connections must have received data since then; zero: any connection will do
	reason        wire.Reason
	retryAfter    time.Duration // retry delay that the last refusal gave; 0: none
}

// run sends the request to servers until it is answered or given up, and returns the final answer.
func (d *delivery) run(ctx context.Context) *answer {
	a := d.deliver(ctx)
	if d.n.lostAtOwnHop(d.q, a) {
		d.n.stats.noteLost(d.n.clock.Now(), d.q.kind())
	}
	return a
}

// deliver is run without the count of lost requests.
func (d *delivery) deliver(ctx context.Context) *answer {
	d.reason = wire.ReasonNoServer
	for {
		if ctx.Err() != nil {
			d.reason = d.n.endReason()
			return d.finalAnswer()
		}
		now, servers := d.n.clock.Now(), d.n.view.Load().services[d.q.Service]
		p, refusal := d.nextServer(now, servers)
		if refusal != nil {
			d.recordAttempt(refusal)
			return d.finalAnswer()
		}
		if p == nil && len(servers) == 0 && d.n.pollDuringStartup(ctx) {
			continue
		}
		if p == nil {
			d.noteNoServer(now, servers)
			return d.finalAnswer()
		}
		d.tried = append(d.tried, p)
		a := d.send(ctx, p)
		if a.arrived {
			d.arrivals++
		}
		d.recordAttempt(a)
		if a.outcome == wire.Ran && !a.serverFailed() || a.canceled {
			d.recordSuccess(a)
			return a
		}
		if !d.mayRetry(a) {
			return d.finalAnswer()
		}
		if !logging.IsLimited(d.n.callLog, "request retried") {
			d.n.callLog.Info("request retried", "request", d.q.id, "route", d.route.Name, "peer", p.host,
				"outcome", a.outcome, "reason", a.reason, "arrivals", d.arrivals)
		}
	}
}

// noteNoServer records why there is no server left to send to.
func (d *delivery) noteNoServer(now time.Time, servers []*peer) {
	if wait := shortestFullTime(now, servers); wait > 0 {
		d.reason, d.retryAfter = wire.ReasonRateLimit, wait
		if !logging.IsLimited(d.n.callLog, "no server within its rate limit is left") {
			d.n.callLog.Info("no server within its rate limit is left", "request", d.q.id, "route", d.route.Name, "service", d.q.Service,
				"servers", len(servers), "retry_after", wait)
		}
		return
	}
	if len(d.tried) == 0 && anyStopping(now, servers) {
		d.reason = wire.ReasonLeaving
	}
}

// recordAttempt records what an attempt's answer means for the request as a whole.
func (d *delivery) recordAttempt(a *answer) {
	d.reason = a.reason
	if isFull(a.reason) {
		d.q.RejectedElsewhere = true
	}
	switch {
	case a.serverFailed():
		d.serverFailure = a
	case a.outcome == wire.Unknown:
		d.lostAttempt, d.receivedSince = a, d.n.clock.Now().Add(-lostAttemptWindow)
	}
	d.retryAfter = a.retryAfter
}

// mayRetry reports whether the request may be sent to another server after this answer. It takes a retry from the
// budget where one is needed.
func (d *delivery) mayRetry(a *answer) bool {
	if d.q.mayHaveMoved() {
		return false // part of the body may have been consumed
	}
	if a.outcome != wire.NotRun && d.q.Once {
		return false
	}
	if a.reason == wire.ReasonQuarantined || a.reason == wire.ReasonSuspect {
		return false // no other server may be put at risk
	}
	if d.q.Stages.Suspected() && isFull(a.reason) {
		return false // a suspect's copies stay at one server, as above
	}
	if a.serverFailed() && !d.n.anotherServerMayHelp(d.q) {
		return false // most likely its calls failed, and another run would only add load
	}
	if a.reason == wire.ReasonDeadline && d.n.isHopeless(d.q) {
		return false // other gates would refuse it too
	}
	if !a.arrived {
		return true // a gate's refusal isn't an arrival, so the next attempt costs nothing
	}
	return d.arrivals < max(d.route.MaxAttempts, 1) && d.n.withdrawRetryBudget(d.q)
}

// finalAnswer returns the answer to a request that no server answered. It says that the request hasn't run only if that
// is certain.
func (d *delivery) finalAnswer() *answer {
	switch {
	case d.serverFailure != nil:
		return d.serverFailure
	case d.lostAttempt != nil:
		return d.lostAttempt
	default:
		a := notRunAnswer(d.reason)
		a.retryAfter = d.retryAfter
		return a
	}
}

// send sends the request to one server through its node, and returns the answer.
func (d *delivery) send(ctx context.Context, p *peer) *answer {
	lifetime, sent := p.knownLifetime(), sending{at: d.n.clock.Now(), server: p.knownServer()}
	usual := p.recordSend(sent.at, d.n.slotHoldTime(d.route.Name))
	defer p.inflight.Add(-1)
	if p.local {
		a := d.n.backend.serve(ctx, d.q)
		r := d.n.replyHeader(a)
		p.receivedReply(d.n.clock.Now(), r)
		d.noteNotice(p, sent, r, a.header)
		return a
	}
	left := d.q.deadline.Sub(sent.at)
	if left <= 0 {
		return notRunAnswer(wire.ReasonDeadline)
	}
	fields := []headerpack.Field{
		{Name: headerCall, Value: d.q.encode()},
		{Name: d.n.names.TimeLeft, Value: strconv.FormatInt(max(left.Milliseconds(), 1), 10)},
	}
	if k := p.knownLimit(); k.limit.Advertised {
		fields = append(fields, headerpack.Field{Name: headerKnownLimit, Value: encodeKnownLimit(k.limit, k.instance)})
	}
	if d.q.reserve.Time > 0 && p.readsReserve.Load() {
		fields = append(fields, headerpack.Field{Name: headerReserve, Value: d.q.reserve.String()})
	}
	req := &httpconn.Request{
		Method: d.q.method, URI: d.q.uri, Host: d.q.host, Header: d.q.header, Fields: fields, PackHeader: !p.sameZone.Load() && !d.n.off[settings.PackedHeaders],
		Body: d.q.body, ReceivedSince: d.receivedSince, ExpectedResponseTime: d.n.expectedResponseTime(usual),
	}
	if d.q.stream != nil {
		d.q.setStream(req)
		req.ContinueWait, req.Continued = d.n.continueWait(d.q), p.markReachable
	}
	res, err := d.roundTrip(ctx, p, usual, req)
	if err != nil {
		return d.handlePeerError(p, err)
	}
	r, err := parseReply(res.Header.Get(headerReply))
	if err != nil {
		_ = res.Body.Close() // the response isn't a node's answer
		d.n.callLog.Warn("invalid peer answer", "request", d.q.id, "peer", p.host, "err", err)
		return unknownAnswer(wire.ReasonAnswerLost)
	}
	p.receivedReply(d.n.clock.Now(), r)
	d.noteNotice(p, sent, r, res.Header)
	if r.NotListening {
		p.markServerCrashed(d.n.clock.Now(), lifetime)
	}
	d.n.noteVersion(p.host, r.Version)
	return d.readAnswer(p, res, r)
}

// readAnswer reads the body of a node's response and returns the answer.
func (d *delivery) readAnswer(p *peer, res *httpconn.Response, r peerReply) *answer {
	if r.Outcome != wire.NotRun {
		d.q.bodyMoved.Store(true)
	}
	a := &answer{outcome: r.Outcome, reason: r.Reason, arrived: r.RefusedByServer, status: res.Status, retryAfter: r.RetryAfter}
	d.recordCrash(p, r)
	if r.Outcome != wire.Ran {
		if err := drainBody(res); err != nil {
			d.n.callLog.Debug("reading the rest of a refusal failed", "peer", p.host, "err", err)
		}
		return a
	}
	a.arrived = true
	res.KeepSending()
	a.header = dropHopHeaders(res.Header)
	a.header.Set(d.n.names.AttemptID, d.q.id) // the server's node has checked that it matches
	if err := d.n.bufferBody(d.q, a, res); err != nil {
		return d.handlePeerError(p, err)
	}
	return a
}

// handlePeerError returns the answer for an exchange with a node that gave no complete response, and backs the peer off
// unless the caller canceled.
func (d *delivery) handlePeerError(p *peer, err error) *answer {
	d.n.noteBrokenAnswer(d.q, "node", p.host, err)
	if errors.Is(err, errRequestMissing) {
		return unknownAnswer(wire.ReasonAnswerLost)
	}
	if isCanceled(err) {
		a := unknownAnswer(d.n.endReason())
		a.canceled = true
		return a
	}
	if isBodyBroken(err) {
		return unknownAnswer(wire.ReasonBodyLost) // the peer had no part in it
	}
	if p.backOff(d.n.clock.Now()) {
		d.n.metrics.count("peers_aside_total")
		d.n.callLog.Warn("peer backed off", "peer", p.host, "request", d.q.id, "err", err)
	}
	if isUnsent(err) || d.q.neverMoved() {
		return notRunAnswer(wire.ReasonNoServer)
	}
	return unknownAnswer(wire.ReasonAnswerLost)
}

// minRetryDelay is the base delay after which a refused client should retry.
const minRetryDelay = 200 * time.Millisecond

// writeFinal writes the final answer to the client.
func (n *Node) writeFinal(w http.ResponseWriter, q *request, a *answer) {
	n.metrics.count("requests_total", "route", q.Route, "service", q.Service, "outcome", string(a.outcome), "reason", string(a.reason))
	if n.stop.stopping() {
		w.Header().Set("Connection", "close")
	}
	if a.outcome == wire.Ran {
		q.sendDuringAnswer(w)
		n.writeAnswer(w, q.id, q.Route, a)
		q.awaitBody()
		return
	}
	status := http.StatusBadGateway
	switch {
	case a.outcome == wire.NotRun:
		status = http.StatusServiceUnavailable
		if a.reason == wire.ReasonQuota {
			status = http.StatusTooManyRequests
		}
		w.Header().Set("Retry-After", formatRetryAfter(n.retryDelay(q, a)))
	case a.canceled && a.reason == wire.ReasonDeadline:
		status = http.StatusGatewayTimeout
	}
	w.Header().Set(n.names.AttemptID, q.id)
	w.Header().Set(wire.HeaderReason, string(a.reason))
	w.WriteHeader(status)
}
