package mesh

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/httpconn"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// delivery is the story of one request at the node where it began.
type delivery struct {
	n          *Node
	q          *request
	route      *desired.Route
	tried      []*peer
	arrivals   int       // backend servers that it reached, or may have reached
	failure    *answer   // a server's own failure, which is the answer if no other server does better
	lost       *answer   // an attempt that may have run: from then on no refusal is certain
	heardSince time.Time // its connection has to have been heard since then, once an attempt was lost; zero: any will do
	reason     wire.Reason
	comeBack   time.Duration // what the last refusal says of when to come back; 0: nothing
}

// run sends the request until it is answered or given up.
func (d *delivery) run(ctx context.Context) *answer {
	d.reason = wire.ReasonNoServer
	for {
		if ctx.Err() != nil {
			d.reason = wire.ReasonDeadline
			return d.giveUp()
		}
		now, servers := d.n.clock.Now(), d.n.view.Load().services[d.q.Service]
		p, held := d.next(now, servers)
		if held != nil {
			d.note(held)
			return d.giveUp()
		}
		if p == nil && len(servers) == 0 && d.n.awaitNews(ctx) {
			continue
		}
		if p == nil {
			if anyStopping(now, servers) && len(d.tried) == 0 {
				d.reason = wire.ReasonLeaving
			}
			return d.giveUp()
		}
		d.tried = append(d.tried, p)
		a := d.send(ctx, p)
		if a.arrived {
			d.arrivals++
		}
		d.note(a)
		if a.outcome == wire.Ran && !a.failed() || a.canceled {
			return a
		}
		if !d.again(a) {
			return d.giveUp()
		}
		d.n.callLog.Info("sent again", "request", d.q.id, "route", d.route.Name, "peer", p.host,
			"outcome", a.outcome, "reason", a.reason, "arrivals", d.arrivals)
	}
}

// note keeps what an attempt says of the request as a whole.
func (d *delivery) note(a *answer) {
	d.reason = a.reason
	if a.reason == wire.ReasonQueue {
		d.q.TurnedAway = true
	}
	switch {
	case a.failed():
		d.failure = a
	case a.outcome == wire.Unknown:
		d.lost, d.heardSince = a, d.n.clock.Now().Add(-heardLately)
	}
	d.comeBack = a.comeBack
}

// again tells whether a request that wasn't answered may be sent to another server.
func (d *delivery) again(a *answer) bool {
	if d.q.stream != nil {
		return false // part of the body may be gone
	}
	if a.outcome != wire.NotRun && d.q.Once {
		return false
	}
	if a.reason == wire.ReasonHeldBack || a.reason == wire.ReasonSuspect {
		return false // the other servers are to be spared
	}
	if d.q.Stages.Suspected() && a.reason == wire.ReasonQueue {
		return false // as above: its copies stay at one server
	}
	if a.failed() && !d.n.worthAnother(d.q) {
		return false // its calls failed, most likely; another run would only add to the load
	}
	if !a.arrived {
		return true // the gate's refusal is no arrival: going on costs nothing
	}
	return d.arrivals < max(d.route.MaxAttempts, 1) && d.n.mayRepeat(d.q)
}

// giveUp returns the final answer of a request that no server answered. It says that the request hasn't
// run only if that is certain.
func (d *delivery) giveUp() *answer {
	switch {
	case d.failure != nil:
		return d.failure
	case d.lost != nil:
		return d.lost
	default:
		a := refused(d.reason)
		a.comeBack = d.comeBack
		return a
	}
}

// send hands the request to one server, through the node beside it.
func (d *delivery) send(ctx context.Context, p *peer) *answer {
	life := p.lifeKnown()
	usual := p.sending(d.n.clock.Now(), d.n.slotHoldTime(d.route.Name))
	defer p.inflight.Add(-1)
	if p.local {
		a := d.n.backend.serve(ctx, d.q)
		p.heard(d.n.clock.Now(), d.n.replyHeader(a))
		return a
	}
	left := d.q.deadline.Sub(d.n.clock.Now())
	if left <= 0 {
		return refused(wire.ReasonDeadline)
	}
	h := d.q.header.Clone()
	h.Set(headerCall, d.q.encode())
	h.Set(d.n.names.TimeLeft, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	res, err := d.exchange(ctx, p, usual, &httpconn.Request{
		Method: d.q.method, URI: d.q.uri, Host: d.q.host, Header: h, Packed: !p.near.Load() && !d.n.off[settings.PackedHeaders],
		Body: d.q.body, Stream: d.q.stream, StreamLen: d.q.length, HeardSince: d.heardSince, Patience: d.n.connPatience(usual),
	})
	if err != nil {
		return d.peerFailed(p, err)
	}
	r, err := parseReply(res.Header.Get(headerReply))
	if err != nil {
		_ = res.Body.Close() // what is there isn't a node's answer
		d.n.callLog.Warn("peer answer refused", "request", d.q.id, "peer", p.host, "err", err)
		return lost(wire.ReasonLost)
	}
	p.heard(d.n.clock.Now(), r)
	if r.Gone {
		p.serverEnded(d.n.clock.Now(), life)
	}
	d.n.noteVersion(p.host, r.Version)
	return d.read(p, res, r)
}

// read takes the rest of a node's answer.
func (d *delivery) read(p *peer, res *httpconn.Response, r reply) *answer {
	a := &answer{outcome: r.Outcome, reason: r.Reason, arrived: r.ByServer, status: res.Status, comeBack: r.ComeBack}
	d.noteEnded(p, r)
	if r.Outcome != wire.Ran {
		if err := drainBody(res); err != nil {
			d.n.callLog.Debug("rest of a refusal lost", "peer", p.host, "err", err)
		}
		return a
	}
	a.arrived = true
	a.header = endToEnd(res.Header)
	a.header.Set(d.n.names.AttemptID, d.q.id) // the node beside the server has compared it
	if err := a.readWhole(res); err != nil {
		return d.peerFailed(p, err)
	}
	return a
}

// peerFailed judges an exchange with a node that gave no whole answer.
func (d *delivery) peerFailed(p *peer, err error) *answer {
	if errors.Is(err, errNotThere) {
		return lost(wire.ReasonLost)
	}
	if ended(err) {
		a := lost(wire.ReasonDeadline)
		a.canceled = true
		return a
	}
	if p.failed(d.n.clock.Now()) {
		d.n.metrics.count("peers_aside_total")
		d.n.callLog.Warn("peer set aside", "peer", p.host, "request", d.q.id, "err", err)
	}
	if unsent(err) {
		return refused(wire.ReasonNoServer)
	}
	return lost(wire.ReasonLost)
}

// retryBase is the least time after which a refused client is told to come back.
const retryBase = 200 * time.Millisecond

// writeFinal answers a client.
func (n *Node) writeFinal(w http.ResponseWriter, q *request, a *answer) {
	n.metrics.count("requests_total", "route", q.Route, "service", q.Service, "outcome", string(a.outcome), "reason", string(a.reason))
	if n.stop.leaving() {
		w.Header().Set("Connection", "close")
	}
	if a.outcome == wire.Ran {
		a.write(w)
		return
	}
	status := http.StatusBadGateway
	switch {
	case a.outcome == wire.NotRun:
		status = http.StatusServiceUnavailable
		if a.reason == wire.ReasonQuota {
			status = http.StatusTooManyRequests
		}
		w.Header().Set("Retry-After", retryAfter(n.comeBack(q, a)))
	case a.canceled:
		status = http.StatusGatewayTimeout
	}
	w.Header().Set(n.names.AttemptID, q.id)
	w.Header().Set(wire.HeaderReason, string(a.reason))
	w.WriteHeader(status)
}
