package mesh

import (
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// lazyIdentity caches a request's fingerprints. They are computed on first use, since a request needs them several
// times while any request is a suspect. Its zero value isn't computed yet.
type lazyIdentity struct {
	once     sync.Once
	identity poison.Identity
}

// identity returns the fingerprints of the request's content, which are the same for all its attempts.
func (q *request) identity() poison.Identity {
	q.cachedIdentity.once.Do(func() { q.cachedIdentity.identity = q.fingerprintInput().Identity() })
	return q.cachedIdentity.identity
}

// fingerprintInput returns the parts of the request that its fingerprints are computed from.
func (q *request) fingerprintInput() poison.RequestContent {
	a := poison.RequestContent{
		Service: q.Service, Method: q.method, Host: q.host, URI: q.uri, Caller: q.Caller, Body: q.body,
	}
	if q.stream != nil {
		a.Body, a.Length = q.streamHead, q.streamLength
	}
	return a
}

// suspectDecision returns how to treat a request, by the crashes during its runs at any node. It is one atomic load
// while there are no suspects.
func (n *Node) suspectDecision(q *request) poison.Decision {
	if !n.poison.AnySuspects() || n.off[settings.Quarantine] {
		return poison.Decision{}
	}
	return n.poison.Decide(n.clock.Now(), q.identity())
}

// quarantineRefusal returns the immediate refusal of a quarantined request: this attempt hasn't run, and it may be
// retried when the request is next tried.
func (n *Node) quarantineRefusal(q *request, decision poison.Decision) *answer {
	n.metrics.count("held_back_total", "route", q.Route)
	n.callLog.Info("request quarantined", "request", q.id, "route", q.Route, "service", q.Service, "fingerprint", q.identity().Widest(),
		"stages", decision.Stages, "sound", decision.RecentlySuccessful, "for", decision.Remaining, "ended", loggedLifetimes(decision.Crashed))
	a := notRunAnswer(wire.ReasonQuarantined)
	a.retryAfter = decision.Remaining
	return a
}

// logSuspectRefused logs that a suspect which isn't quarantined was refused, and why.
func (n *Node) logSuspectRefused(q *request, cause string, decision poison.Decision) {
	n.callLog.Info("suspect refused", "request", q.id, "route", q.Route, "fingerprint", q.identity().Widest(), "cause", cause, "treatment", decision.Treatment.String(),
		"stages", decision.Stages, "sound", decision.RecentlySuccessful, "for", decision.Remaining, "ended", loggedLifetimes(decision.Crashed))
}

// loggedLifetimes are server lifetimes as a log line shows them.
type loggedLifetimes []poison.Lifetime

// LogValue lists the instances.
func (l loggedLifetimes) LogValue() slog.Value {
	names := make([]string, 0, len(l))
	for _, x := range l {
		names = append(names, x.Instance)
	}
	return slog.AnyValue(names)
}

// nextServer returns the server to send to, or the answer if the request must not be sent; both are nil if there is no
// server. All copies of a suspect at all nodes go to the same single server, since it may crash that one too.
func (d *delivery) nextServer(now time.Time, servers []*peer) (*peer, *answer) {
	decision := d.n.suspectDecision(d.q)
	d.q.Stages = decision.Stages
	switch decision.Treatment {
	case poison.Free:
		options := d.n.comparisonSettings()
		// At its gate calls and urgent requests go first, so each request may ask one, and calls all.
		options.asksFull = d.q.Internal || len(d.tried) == 0
		options.usualHold, options.callShare, options.timeLeft = d.n.slotHoldTime(d.q.Route), d.n.callShare(d.q.Route), d.q.deadline.Sub(now)
		return chooseServer(now, servers, d.tried, options), nil
	case poison.Quarantined:
		return nil, d.n.quarantineRefusal(d.q, decision)
	default:
		return d.serverForSuspect(now, servers, decision)
	}
}

// recordCrash records at once that the server of the node crashed during the request, as the reply says, without
// waiting for the update about it.
func (d *delivery) recordCrash(p *peer, r peerReply) {
	if r.CrashedLifetime == "" {
		return
	}
	now := d.n.clock.Now()
	at := poison.Lifetime{Host: p.host, Instance: r.CrashedLifetime}
	p.markServerCrashed(now, r.CrashedLifetime)
	if r.HasCrashSuccess {
		d.n.poison.RecordRun(now, at, d.q.Service, poison.Run{
			Identity: d.q.identity(), Stages: d.q.Stages, RecentSuccess: r.CrashSuccess, Route: d.q.Route, Request: d.q.id,
		})
		return
	}
	for i, f := range d.q.identity() {
		d.n.poison.MergeCase(now, poison.Case{
			Fingerprint: f, Service: d.q.Service, Route: d.q.Route, Request: d.q.id,
			Stage: d.q.Stages[i] + 1, Crashed: []poison.Lifetime{at},
		})
	}
}

// serverForSuspect returns the server that a suspect goes to, or a refusal. While a single server is left, suspects are
// refused for a while so that it can serve other requests, unless they were recently successful.
func (d *delivery) serverForSuspect(now time.Time, servers []*peer, decision poison.Decision) (*peer, *answer) {
	available := filterPeers(servers, func(p *peer) bool { return p.acceptsRequests(now, false) })
	if len(available) == 1 && len(servers) > 1 && decision.Remaining > 0 && !decision.RecentlySuccessful && !d.succeededBefore(now) {
		d.n.logSuspectRefused(d.q, "last server", decision)
		a := notRunAnswer(wire.ReasonSuspect)
		a.retryAfter = decision.Remaining
		return nil, a
	}
	if decision.Treatment == poison.Alone {
		available = settledPeers(now, available)
	}
	available = filterPeers(available, func(p *peer) bool { return !slices.Contains(d.tried, p) })
	hosts := make([]string, 0, len(available))
	for _, p := range available {
		hosts = append(hosts, p.host)
	}
	i := poison.SelectHost(d.q.identity().Widest(), hosts)
	if i < 0 {
		return nil, nil
	}
	d.n.callLog.Info("suspect sent", "request", d.q.id, "treatment", decision.Treatment.String(), "stages", decision.Stages, "to", hosts[i],
		"servers", len(hosts), "tried", len(d.tried), "ended", loggedLifetimes(decision.Crashed))
	return available[i], nil
}

// recordSuccess remembers that a server ran the request and didn't fail.
func (d *delivery) recordSuccess(a *answer) {
	if a.outcome == wire.Ran && a.status < http.StatusInternalServerError && !d.n.off[settings.Quarantine] {
		d.n.forwarded.RecordSuccess(d.n.clock.Now(), d.q.fingerprintInput())
	}
}

// succeededBefore reports whether the same request, sent by this node, succeeded recently at any server. The server that crashed may not
// have run it before.
func (d *delivery) succeededBefore(now time.Time) bool {
	return d.n.forwarded.Recent(now, d.q.fingerprintInput())[poison.Exact]
}

// settledPeers returns the peers whose servers all nodes know, or all peers if there are none. While the record of a
// new server spreads, nodes would choose differently, and two copies that run at once may crash two servers.
func settledPeers(now time.Time, list []*peer) []*peer {
	known := filterPeers(list, func(p *peer) bool { return p.isWidelyKnown(now) })
	if len(known) == 0 {
		return list
	}
	return known
}

// filterPeers returns the peers of the list for which keep returns true.
func filterPeers(list []*peer, keep func(p *peer) bool) []*peer {
	var found []*peer
	for _, p := range list {
		if keep(p) {
			found = append(found, p)
		}
	}
	return found
}

// recordSuccess records a request whose run succeeded, and clears it if it is a suspect. A server failure (5xx) doesn't
// clear it: the run may have been cut short before it could do harm.
func (b *backend) recordSuccess(q *request, a *answer) {
	if a.outcome != wire.Ran || a.status >= http.StatusInternalServerError || b.n.off[settings.Quarantine] {
		return
	}
	b.recentSuccesses.RecordSuccess(b.n.clock.Now(), q.fingerprintInput())
	if !b.n.poison.AnySuspects() {
		return
	}
	cleared := b.n.poison.RecordSuccess(b.n.clock.Now(), q.identity())
	if len(cleared) == 0 {
		return
	}
	b.n.enqueue(func() {
		for _, c := range cleared {
			b.n.control.suspects.addCleared(b.n.clock.Now(), c)
		}
	})
}
