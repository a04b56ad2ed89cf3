package mesh

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/httpconn"
	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// backend is the way to the backend server on this VM.
type backend struct {
	n     *Node
	pool  *httpconn.Pool
	runs  serverRuns
	trial trial
	good  poison.SuccessTracker
}

func newBackend(n *Node) *backend {
	return &backend{n: n, pool: &httpconn.Pool{
		Dial: n.network.dialFunc(n.ip, n.cfg.Backend.Address, backendDialTime), Clock: n.clock, SilentSends: silentSends,
	}}
}

// serve puts a request through the gate and hands it to the backend server.
func (b *backend) serve(ctx context.Context, q *request) *answer {
	a := b.run(ctx, q)
	b.n.metrics.count("arrivals_total", "service", q.Service, "outcome", string(a.outcome), "reason", string(a.reason))
	return a
}

// run lets a request pass, or tells why it may not.
func (b *backend) run(ctx context.Context, q *request) *answer {
	own := b.n.view.Load().own
	if own.Service != q.Service || own.Instance == "" {
		return refused(wire.ReasonNoServer)
	}
	done, refusal := b.tryAtServer(ctx, q)
	defer done()
	if refusal != nil {
		return refusal
	}
	reason := b.enter(ctx, q)
	if !q.TurnedAway {
		b.n.stats.noteGateArrival(b.n.clock.Now(), q.Inner, reason == wire.ReasonQueue)
	}
	if reason != wire.ReasonNone {
		return refused(reason)
	}
	a := b.runHere(ctx, q, own)
	b.noteSurvived(q, a)
	return a
}

// runHere hands a request that holds a slot to the server, and counts what became of it.
func (b *backend) runHere(ctx context.Context, q *request, own directory.Record) *answer {
	begun := b.n.clock.Now()
	run := b.n.stats.beginRun(begun, q.Route, q.deadline.Add(-answerMargin))
	at := &serverRun{q: q, life: own.LifeName(), begun: begun}
	b.runs.begin(at)
	a, outcome := b.send(ctx, q, own.Instance)
	if a.broken {
		a = b.brokeOff(at, a)
	} else {
		b.runs.end(at)
	}
	if a.unreachable && !b.runs.goesOn(begun) {
		b.n.noteAway(true)
	}
	now := b.n.clock.Now()
	held := min(now.Sub(begun), max(q.deadline.Sub(begun), 0)) // while the VM was suspended the run held nothing
	b.n.gateMu.Lock()
	b.n.gate.Done(now, held, b.n.slotHoldTime(q.Route), outcome)
	b.n.gateMu.Unlock()
	if a.outcome == wire.NotRun {
		b.n.stats.dropRun(now, run)
		a.gone = b.n.away.Load()
		return a
	}
	b.n.stats.endRun(now, q.Route, run, held, outcome)
	b.n.metrics.count("runs_total", "route", q.Route, "outcome", outcome.String())
	b.n.metrics.add(held.Milliseconds(), "slot_ms_total", "route", q.Route, "outcome", outcome.String())
	return a
}

// enter waits for the gate; it returns why the request was refused, or ReasonNone once it may start.
func (b *backend) enter(ctx context.Context, q *request) wire.Reason {
	verdicts := make(chan gate.Verdict, 1)
	t := &gate.Ticket{
		Inner: q.Inner, Priority: q.Priority, Deadline: q.deadline, Usual: b.n.slotHoldTime(q.Route), Age: b.n.ageOf(q),
		Notify: func(v gate.Verdict) { verdicts <- v },
	}
	b.n.gateMu.Lock()
	v := b.n.gate.Arrive(b.n.clock.Now(), t)
	b.n.gateMu.Unlock()
	if v.Queued {
		select {
		case v = <-verdicts:
		case <-ctx.Done():
			return b.withdraw(t, verdicts)
		}
	}
	if v.Start {
		return wire.ReasonNone
	}
	return v.Reason
}

// ageOf returns how long ago the work began that a call belongs to, at least: calls of its route that are made at once
// have so much more time left.
func (n *Node) ageOf(q *request) time.Duration {
	if !q.Inner {
		return 0
	}
	now := n.clock.Now()
	return n.stats.callAge(now, q.Route, q.deadline.Sub(now))
}

// withdraw takes back a ticket whose caller has gone.
func (b *backend) withdraw(t *gate.Ticket, verdicts <-chan gate.Verdict) wire.Reason {
	b.n.gateMu.Lock()
	queued := b.n.gate.Cancel(t)
	b.n.gateMu.Unlock()
	if queued {
		return wire.ReasonDeadline
	}
	v := <-verdicts
	if !v.Start {
		return v.Reason
	}
	b.n.gateMu.Lock()
	b.n.gate.Done(b.n.clock.Now(), 0, 0, gate.Left)
	b.n.gateMu.Unlock()
	return wire.ReasonDeadline
}

// answerMargin is taken off the time that a backend server is given, so that its own answer at the end of
// it still arrives in time.
const answerMargin = 20 * time.Millisecond

// send hands a request to the server and judges what comes back.
func (b *backend) send(ctx context.Context, q *request, instance string) (*answer, gate.Outcome) {
	left := q.deadline.Sub(b.n.clock.Now()) - answerMargin
	if left < time.Millisecond {
		return refused(wire.ReasonDeadline), gate.Left
	}
	h := q.header.Clone()
	h.Set(b.n.names.Instance, instance)
	h.Set(b.n.names.Caller, q.Caller)
	h.Set(b.n.names.TimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
	res, err := b.pool.Do(ctx, &httpconn.Request{
		Method: q.method, URI: q.uri, Host: q.host, Header: h,
		Body: q.body, Stream: q.stream, StreamLen: q.length, Patience: b.patience(q),
	})
	if err != nil {
		return b.failed(err)
	}
	if res.Header.Get(b.n.names.AttemptID) != q.id {
		_ = res.Body.Close() // it belongs to another request, and so does what follows on the connection
		if notExecuted(res, b.n.names) && res.Header.Get(b.n.names.AttemptID) == "" {
			return b.shed(res), gate.Shed
		}
		return lost(wire.ReasonLost), gate.Failed
	}
	if notExecuted(res, b.n.names) {
		_ = drainBody(res) // the refusal itself is known; its text isn't used
		return b.shed(res), gate.Shed
	}
	a := &answer{outcome: wire.Ran, arrived: true, status: res.Status, header: endToEnd(res.Header)}
	if err := a.readWhole(res); err != nil {
		return b.failed(err)
	}
	if a.status >= http.StatusInternalServerError {
		return a, gate.Failed
	}
	return a, gate.Answered
}

// patience returns in which time the server's answer can be expected.
func (b *backend) patience(q *request) time.Duration {
	b.n.gateMu.Lock()
	pace := b.n.gate.Read().Pace
	b.n.gateMu.Unlock()
	return b.n.connPatience(usualAt(pace, b.n.slotHoldTime(q.Route)))
}

// notExecuted tells whether the server says that it hasn't run the request.
func notExecuted(res *httpconn.Response, names HeaderNames) bool {
	return res.Header.Get(names.NotRun) != "" || res.Status == http.StatusMisdirectedRequest
}

func (b *backend) shed(res *httpconn.Response) *answer {
	reason := wire.ReasonRefused
	if res.Status == http.StatusMisdirectedRequest {
		reason = wire.ReasonNoServer
	}
	a := refused(reason)
	a.arrived = res.Status != http.StatusMisdirectedRequest
	return a
}

func (b *backend) failed(err error) (*answer, gate.Outcome) {
	switch {
	case unsent(err):
		a := refused(wire.ReasonNoServer)
		a.unreachable = errors.Is(err, syscall.ECONNREFUSED)
		return a, gate.Failed
	case ended(err):
		a := lost(wire.ReasonDeadline)
		a.canceled = true
		return a, gate.Left
	default:
		a := lost(wire.ReasonLost)
		a.broken = true
		return a, gate.Failed
	}
}
