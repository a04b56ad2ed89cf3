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

// lazyIdentity is what a request asks for, worked out when it is first needed, since beside suspects each request needs it several times. Its zero value isn't
// worked out.
type lazyIdentity struct {
	once sync.Once
	of   poison.Identity
}

// identity tells what the request asks for, whatever attempt it is.
func (q *request) identity() poison.Identity {
	q.cachedIdentity.once.Do(func() { q.cachedIdentity.of = q.fingerprintInput().Identity() })
	return q.cachedIdentity.of
}

// asked returns what the request asks for.
func (q *request) fingerprintInput() poison.Asked {
	a := poison.Asked{
		Service: q.Service, Method: q.method, Host: q.host, URI: q.uri, Caller: q.Caller, Body: q.body,
	}
	if q.stream != nil {
		a.Body, a.Length = q.streamHead, q.streamLength
	}
	return a
}

// judge returns what is to be done with a request, by what ended under it anywhere. While nothing is under suspicion it costs one look.
func (n *Node) suspectDecision(q *request) poison.Judgement {
	if !n.poison.Any() || n.off[settings.HeldBack] {
		return poison.Judgement{}
	}
	return n.poison.Judge(n.clock.Now(), q.identity())
}

// heldBack answers a request that is held back, at once: this attempt hasn't run, and it may come back when it is tried again.
func (n *Node) quarantineRefusal(q *request, j poison.Judgement) *answer {
	n.metrics.count("held_back_total", "route", q.Route)
	n.callLog.Info("held back", "request", q.id, "route", q.Route, "service", q.Service, "fingerprint", q.identity().Widest(),
		"stages", j.Stages, "sound", j.Sound, "for", j.For, "ended", loggedLifetimes(j.Ends))
	a := notRunAnswer(wire.ReasonHeldBack)
	a.retryAfter = j.For
	return a
}

// lifetimes shows servers that ended in a log line.
type loggedLifetimes []poison.Lifetime

// LogValue lists the instances.
func (l loggedLifetimes) LogValue() slog.Value {
	names := make([]string, 0, len(l))
	for _, x := range l {
		names = append(names, x.Instance)
	}
	return slog.AnyValue(names)
}

// next returns the server to send to, or the answer if the request isn't to be sent on; both are nil if there is no server. A suspect goes to one
// server only, the same for all its copies at whatever node: it may end that one too.
func (d *delivery) nextServer(now time.Time, servers []*peer) (*peer, *answer) {
	j := d.n.suspectDecision(d.q)
	d.q.Stages = j.Stages
	switch j.Treatment {
	case poison.Free:
		return chooseServer(now, servers, d.tried, d.n.comparisonOptions()), nil
	case poison.HeldBack:
		return nil, d.n.quarantineRefusal(d.q, j)
	default:
		return d.serverForSuspect(now, servers, j)
	}
}

// noteEnded takes the word of the node beside a server that this has ended under the request, without waiting for the news of it.
func (d *delivery) recordCrash(p *peer, r peerReply) {
	if r.CrashedLifetime == "" {
		return
	}
	now := d.n.clock.Now()
	at := poison.Lifetime{Host: p.host, Instance: r.CrashedLifetime}
	p.serverEnded(now, r.CrashedLifetime)
	for i, f := range d.q.identity() {
		d.n.poison.TakeCase(now, poison.Case{
			Fingerprint: f, Service: d.q.Service, Route: d.q.Route, Request: d.q.id,
			Stage: d.q.Stages[i] + 1, Ends: []poison.Lifetime{at},
		})
	}
}

// placeSuspect returns the server that a suspect goes to. The last one that is there is spared for a moment, for the sake of all other
// requests, but from those whose runs have ended well of late.
func (d *delivery) serverForSuspect(now time.Time, servers []*peer, j poison.Judgement) (*peer, *answer) {
	there := filterPeers(servers, func(p *peer) bool { return p.acceptsRequests(now, false) })
	if len(there) == 1 && len(servers) > 1 && j.For > 0 && !j.Sound {
		a := notRunAnswer(wire.ReasonSuspect)
		a.retryAfter = j.For
		return nil, a
	}
	if j.Treatment == poison.Alone {
		there = settledPeers(now, there)
	}
	there = filterPeers(there, func(p *peer) bool { return !slices.Contains(d.tried, p) })
	hosts := make([]string, 0, len(there))
	for _, p := range there {
		hosts = append(hosts, p.host)
	}
	i := poison.Place(d.q.identity().Widest(), hosts)
	if i < 0 {
		return nil, nil
	}
	return there[i], nil
}

// settled returns the peers whose servers all nodes know, or all if there are none. While news of a server spreads nodes would choose differently, and two
// copies that are tried at once may end two servers.
func settledPeers(now time.Time, list []*peer) []*peer {
	old := filterPeers(list, func(p *peer) bool { return p.settled(now) })
	if len(old) == 0 {
		return list
	}
	return old
}

// those returns the peers of a list that are meant.
func filterPeers(list []*peer, meant func(p *peer) bool) []*peer {
	var found []*peer
	for _, p := range list {
		if meant(p) {
			found = append(found, p)
		}
	}
	return found
}

// noteSurvived clears a request whose run ended well. A server's own failure says too little: the run may have been cut short before it could do harm.
func (b *backend) recordGoodRun(q *request, a *answer) {
	if a.outcome != wire.Ran || a.status >= http.StatusInternalServerError || b.n.off[settings.HeldBack] {
		return
	}
	b.recentGoodRuns.Add(b.n.clock.Now(), q.fingerprintInput())
	if !b.n.poison.Any() {
		return
	}
	cleared := b.n.poison.Clear(b.n.clock.Now(), q.identity())
	if len(cleared) == 0 {
		return
	}
	b.n.do(func() {
		for _, c := range cleared {
			b.n.control.suspects.addCleared(b.n.clock.Now(), c)
		}
	})
}
