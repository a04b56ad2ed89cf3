package mesh

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rockspoke/rockspoke/pkg/advertised"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/headerpack"
	"github.com/rockspoke/rockspoke/pkg/httpconn"
	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// backend sends requests to the backend server on this VM.
type backend struct {
	n               *Node
	pool            *httpconn.Pool
	runs            serverRuns
	trial           trial
	recentSuccesses poison.SuccessTracker
	notices         serverNotices
}

// newBackend returns the backend of a node.
func newBackend(n *Node) *backend {
	return &backend{n: n, pool: &httpconn.Pool{
		Dial: n.network.dialFunc(n.ip, n.cfg.Backend.Address, backendDialTimeout), Clock: n.clock, MinUnansweredSends: minUnansweredSends,
	}}
}

// serve passes a request through the gate to the backend server and returns the answer.
func (b *backend) serve(ctx context.Context, q *request) *answer {
	a := b.admitAndRun(ctx, q)
	b.n.metrics.count("arrivals_total", "service", q.Service, "outcome", string(a.outcome), "reason", string(a.reason))
	return a
}

// admitAndRun runs a request at the server, or returns a refusal if it may not run.
func (b *backend) admitAndRun(ctx context.Context, q *request) *answer {
	own := b.n.view.Load().localServer
	if own.Service != q.Service || own.Instance == "" {
		return notRunAnswer(wire.ReasonNoServer)
	}
	done, refusal := b.awaitTrialTurn(ctx, q)
	defer done()
	if refusal != nil {
		return refusal
	}
	b.adoptLimit(own, q.knownLimit)
	d, waited := b.waitAtGate(ctx, q)
	if !q.RejectedElsewhere {
		b.n.stats.noteGateArrival(b.n.clock.Now(), q.Internal, b.n.overloadReason(d, waited))
	}
	if !d.Start {
		b.n.noteReserveRefusal(q, d)
		if d.Reason == wire.ReasonRateLimit {
			b.logRateRejection(q, own, d)
		}
		a := notRunAnswer(d.Reason)
		a.retryAfter = d.RetryAfter
		return a
	}
	a := b.runAtServer(ctx, q, own)
	b.recordSuccess(q, a)
	return a
}

// runAtServer sends a request that holds a slot to the server, and counts its outcome.
func (b *backend) runAtServer(ctx context.Context, q *request, own directory.Record) *answer {
	started := b.n.clock.Now()
	run := b.n.stats.beginRun(started, q.Route, q.deadline.Add(-answerMargin))
	b.n.stats.setReserve(run, q.reserve)
	at := &serverRun{q: q, lifetime: own.LifetimeID(), started: started}
	b.runs.begin(at)
	a, outcome := b.send(ctx, q, own)
	if a.broken {
		a = b.resolveBrokenRun(at, a)
	} else {
		b.runs.end(at)
	}
	if a.connRefused && !b.runs.hasRunFromBefore(started) {
		b.n.setNotListening(true)
	}
	now := b.n.clock.Now()
	holdTime := min(now.Sub(started), max(q.deadline.Sub(started), 0)) // a run holds no slot while the VM is suspended
	usual := b.n.slotHoldTime(q.Route)
	if a.outcome == wire.NotRun {
		usual = 0 // nothing is left at the server
	}
	b.n.gateMu.Lock()
	b.n.gate.FinishRun(now, gate.Run{Held: holdTime, TypicalHold: usual, CallShare: b.n.callShare(q.Route), Outcome: outcome})
	b.n.scheduleGate(now)
	b.n.gateMu.Unlock()
	if a.outcome == wire.NotRun {
		b.n.stats.dropRun(now, run)
		a.notListening = b.n.serverNotListening.Load()
		return a
	}
	b.n.stats.endRun(now, q.Route, run, holdTime, outcome)
	b.n.metrics.count("runs_total", "route", q.Route, "outcome", outcome.String())
	b.n.metrics.add(holdTime.Milliseconds(), "slot_ms_total", "route", q.Route, "outcome", outcome.String())
	return a
}

// isFull reports whether a gate rejected a request since its server takes no more for now.
func isFull(reason wire.Reason) bool {
	return reason == wire.ReasonQueue || reason == wire.ReasonRateLimit
}

// waitAtGate waits for a slot, and for the rate limit if the server has one. It returns the final decision, and whether the
// request was queued.
func (b *backend) waitAtGate(ctx context.Context, q *request) (d gate.Decision, queued bool) {
	decisions := make(chan gate.Decision, 1)
	t := &gate.Ticket{
		Internal: q.Internal, Priority: q.Priority, Deadline: q.deadline, TypicalHold: b.n.slotHoldTime(q.Route), CallShare: b.n.callShare(q.Route), Age: b.n.minWorkAge(q),
		Route: q.Route, Reserve: q.reserve, CallsBelow: b.n.callsBelow(q),
		Notify: func(d gate.Decision) { decisions <- d },
	}
	now := b.n.clock.Now()
	b.n.gateMu.Lock()
	d = b.n.gate.Submit(now, t)
	b.n.scheduleGate(now)
	b.n.gateMu.Unlock()
	if queued = d.Queued; queued {
		select {
		case d = <-decisions:
		case <-ctx.Done():
			return b.withdrawTicket(t, decisions), false
		}
	}
	return d, queued
}

// minGateDelay is the shortest time between two looks at tickets that wait for the rate limit.
const minGateDelay = time.Millisecond

// scheduleGate has queued tickets started once the server's rate limit allows it; gateMu must be held.
func (n *Node) scheduleGate(now time.Time) {
	wait, ok := n.gate.NextStart(now)
	if !ok || n.gateScheduled {
		return
	}
	n.gateScheduled = true
	time.AfterFunc(max(wait, minGateDelay), func() {
		now := n.clock.Now()
		n.gateMu.Lock()
		defer n.gateMu.Unlock()
		n.gateScheduled = false
		n.gate.StartQueued(now)
		n.scheduleGate(now)
	})
}

// minWorkAge returns the least time since the work that a call belongs to began. Calls of the same route that are made
// right when work begins have that much more time left.
func (n *Node) minWorkAge(q *request) time.Duration {
	if !q.Internal {
		return 0
	}
	now := n.clock.Now()
	return n.stats.callAge(now, q.Route, q.deadline.Sub(now))
}

// withdrawTicket cancels the ticket of a request whose caller has disconnected, and returns why it didn't run.
func (b *backend) withdrawTicket(t *gate.Ticket, decisions <-chan gate.Decision) gate.Decision {
	late := gate.Decision{Reason: wire.ReasonDeadline}
	b.n.gateMu.Lock()
	queued := b.n.gate.Cancel(t)
	b.n.gateMu.Unlock()
	if queued {
		return late
	}
	d := <-decisions
	if !d.Start {
		return d
	}
	now := b.n.clock.Now()
	b.n.gateMu.Lock()
	b.n.gate.Finish(now, 0, 0, gate.Abandoned)
	b.n.scheduleGate(now)
	b.n.gateMu.Unlock()
	return late
}

// answerMargin is taken off the time that a backend server is given, so that an answer at the end of that time still
// arrives before the deadline.
const answerMargin = 20 * time.Millisecond

// send sends a request to the server, and returns the answer and its outcome for the gate.
func (b *backend) send(ctx context.Context, q *request, own directory.Record) (*answer, gate.Outcome) {
	if a := q.readDeferredBody(); a != nil {
		return a, gate.Abandoned
	}
	sent := b.n.clock.Now()
	left := q.deadline.Sub(sent) - answerMargin
	if left < time.Millisecond {
		return notRunAnswer(wire.ReasonDeadline), gate.Abandoned
	}
	fields := []headerpack.Field{
		{Name: b.n.names.Instance, Value: own.Instance},
		{Name: b.n.names.Caller, Value: q.Caller},
		{Name: b.n.names.TimeLeft, Value: strconv.FormatInt(left.Milliseconds(), 10)},
	}
	req := &httpconn.Request{
		Method: q.method, URI: q.uri, Host: q.host, Header: q.header, Fields: fields, Body: q.body, ExpectedResponseTime: b.expectedAnswerTime(q),
	}
	q.setStream(req)
	res, err := b.pool.Do(ctx, req)
	if err != nil {
		return b.failedAnswer(q, err)
	}
	b.n.noteReservedHeaders("server", q.id, res.Header)
	if res.Header.Get(b.n.names.AttemptID) != q.id {
		_ = res.Body.Close() // the response belongs to another request, and so would later ones on the connection
		if notExecuted(res, b.n.names) && res.Header.Get(b.n.names.AttemptID) == "" {
			return b.shedAnswer(res), gate.Shed
		}
		return unknownAnswer(wire.ReasonAnswerLost), gate.Failed
	}
	if res.Status == http.StatusMisdirectedRequest {
		_ = drainBody(res) // another server answered, and its text isn't used
		return b.shedAnswer(res), gate.Shed
	}
	unlimited := b.noteHeader(q, own, sent, res.Header)
	if notExecuted(res, b.n.names) {
		if drainBody(res) == nil && unlimited { // only the header counts; the text isn't used
			b.observeLimit(own, sent, advertised.RateLimit{})
		}
		return b.shedAnswer(res), gate.Shed
	}
	res.KeepSending()
	a := &answer{outcome: wire.Ran, arrived: true, status: res.Status, header: dropHopHeaders(res.Header)}
	if err := b.n.bufferBody(q, a, res); err != nil {
		return b.failedAnswer(q, err)
	}
	if unlimited {
		b.observeLimit(own, sent, advertised.RateLimit{})
	}
	if a.status >= http.StatusInternalServerError {
		return a, gate.Failed
	}
	return a, gate.Answered
}

// expectedAnswerTime returns the time within which the server's answer to the request is expected.
func (b *backend) expectedAnswerTime(q *request) time.Duration {
	if q.stream != nil {
		return 0 // the client's time for sending the body says nothing of the server's connections
	}
	b.n.gateMu.Lock()
	slowdown := b.n.gate.Snapshot().Slowdown
	b.n.gateMu.Unlock()
	return b.n.expectedResponseTime(expectedHoldTime(slowdown, b.n.slotHoldTime(q.Route)))
}

// notExecuted reports whether the response says that the server hasn't run the request.
func notExecuted(res *httpconn.Response, names HeaderNames) bool {
	return res.Header.Get(names.NotRun) != "" || res.Status == http.StatusMisdirectedRequest
}

// shedAnswer returns the answer for a request that the server refused without running it.
func (b *backend) shedAnswer(res *httpconn.Response) *answer {
	reason := wire.ReasonServerRefused
	if res.Status == http.StatusMisdirectedRequest {
		reason = wire.ReasonNoServer
	}
	a := notRunAnswer(reason)
	a.arrived = res.Status != http.StatusMisdirectedRequest
	return a
}

// failedAnswer returns the answer for a failed exchange with the server, and its outcome for the gate.
func (b *backend) failedAnswer(q *request, err error) (*answer, gate.Outcome) {
	b.n.noteBrokenAnswer(q, "server", b.n.ip, err)
	switch {
	case isUnsent(err):
		a := notRunAnswer(wire.ReasonNoServer)
		a.connRefused = errors.Is(err, syscall.ECONNREFUSED)
		return a, gate.Failed
	case isCanceled(err):
		a := unknownAnswer(b.n.endReason())
		a.canceled = true
		return a, gate.Abandoned
	case isBodyBroken(err):
		return unknownAnswer(wire.ReasonBodyLost), gate.Abandoned // the server had no part in it, and may have run what it got
	default:
		a := unknownAnswer(wire.ReasonAnswerLost)
		a.broken = true
		return a, gate.Failed
	}
}
