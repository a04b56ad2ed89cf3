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

// identity is what a request asks for, worked out when it is first needed, since beside suspects each request needs it several times. Its zero value isn't
// worked out.
type identity struct {
	once sync.Once
	of   poison.Identity
}

// identity tells what the request asks for, whatever attempt it is.
func (q *request) identity() poison.Identity {
	q.ident.once.Do(func() { q.ident.of = q.asked().Identity() })
	return q.ident.of
}

// asked returns what the request asks for.
func (q *request) asked() poison.RequestContent {
	a := poison.RequestContent{
		Service: q.Service, Method: q.method, Host: q.host, URI: q.uri, Caller: q.Caller, Body: q.body,
	}
	if q.stream != nil {
		a.Body, a.Length = q.head, q.length
	}
	return a
}

// judge returns what is to be done with a request, by what ended under it anywhere. While nothing is under suspicion it costs one look.
func (n *Node) judge(q *request) poison.Decision {
	if !n.poison.AnySuspects() || n.off[settings.HeldBack] {
		return poison.Decision{}
	}
	return n.poison.Decide(n.clock.Now(), q.identity())
}

// heldBack answers a request that is held back, at once: this attempt hasn't run, and it may come back when it is tried again.
func (n *Node) heldBack(q *request, j poison.Decision) *answer {
	n.metrics.count("held_back_total", "route", q.Route)
	n.callLog.Info("held back", "request", q.id, "route", q.Route, "service", q.Service, "fingerprint", q.identity().Widest(),
		"stages", j.Stages, "sound", j.RecentlySuccessful, "for", j.Remaining, "ended", lifetimes(j.Crashed))
	a := refused(wire.ReasonHeldBack)
	a.comeBack = j.Remaining
	return a
}

// lifetimes shows servers that ended in a log line.
type lifetimes []poison.Lifetime

// LogValue lists the instances.
func (l lifetimes) LogValue() slog.Value {
	names := make([]string, 0, len(l))
	for _, x := range l {
		names = append(names, x.Instance)
	}
	return slog.AnyValue(names)
}

// next returns the server to send to, or the answer if the request isn't to be sent on; both are nil if there is no server. A suspect goes to one
// server only, the same for all its copies at whatever node: it may end that one too.
func (d *delivery) next(now time.Time, servers []*peer) (*peer, *answer) {
	j := d.n.judge(d.q)
	d.q.Stages = j.Stages
	switch j.Treatment {
	case poison.Free:
		return choose(now, servers, d.tried, d.n.compared()), nil
	case poison.Quarantined:
		return nil, d.n.heldBack(d.q, j)
	default:
		return d.placeSuspect(now, servers, j)
	}
}

// noteEnded takes the word of the node beside a server that this has ended under the request, without waiting for the news of it.
func (d *delivery) noteEnded(p *peer, r reply) {
	if r.Ended == "" {
		return
	}
	now := d.n.clock.Now()
	at := poison.Lifetime{Host: p.host, Instance: r.Ended}
	p.serverEnded(now, r.Ended)
	for i, f := range d.q.identity() {
		d.n.poison.MergeCase(now, poison.Case{
			Fingerprint: f, Service: d.q.Service, Route: d.q.Route, Request: d.q.id,
			Stage: d.q.Stages[i] + 1, Crashed: []poison.Lifetime{at},
		})
	}
}

// placeSuspect returns the server that a suspect goes to. The last one that is there is spared for a moment, for the sake of all other
// requests, but from those whose runs have ended well of late.
func (d *delivery) placeSuspect(now time.Time, servers []*peer, j poison.Decision) (*peer, *answer) {
	there := those(servers, func(p *peer) bool { return p.open(now, false) })
	if len(there) == 1 && len(servers) > 1 && j.Remaining > 0 && !j.RecentlySuccessful {
		a := refused(wire.ReasonSuspect)
		a.comeBack = j.Remaining
		return nil, a
	}
	if j.Treatment == poison.Alone {
		there = settled(now, there)
	}
	there = those(there, func(p *peer) bool { return !slices.Contains(d.tried, p) })
	hosts := make([]string, 0, len(there))
	for _, p := range there {
		hosts = append(hosts, p.host)
	}
	i := poison.SelectHost(d.q.identity().Widest(), hosts)
	if i < 0 {
		return nil, nil
	}
	return there[i], nil
}

// settled returns the peers whose servers all nodes know, or all if there are none. While news of a server spreads nodes would choose differently, and two
// copies that are tried at once may end two servers.
func settled(now time.Time, list []*peer) []*peer {
	old := those(list, func(p *peer) bool { return p.settled(now) })
	if len(old) == 0 {
		return list
	}
	return old
}

// those returns the peers of a list that are meant.
func those(list []*peer, meant func(p *peer) bool) []*peer {
	var found []*peer
	for _, p := range list {
		if meant(p) {
			found = append(found, p)
		}
	}
	return found
}

// noteSurvived clears a request whose run ended well. A server's own failure says too little: the run may have been cut short before it could do harm.
func (b *backend) noteSurvived(q *request, a *answer) {
	if a.outcome != wire.Ran || a.status >= http.StatusInternalServerError || b.n.off[settings.HeldBack] {
		return
	}
	b.good.RecordSuccess(b.n.clock.Now(), q.asked())
	if !b.n.poison.AnySuspects() {
		return
	}
	cleared := b.n.poison.RecordSuccess(b.n.clock.Now(), q.identity())
	if len(cleared) == 0 {
		return
	}
	b.n.do(func() {
		for _, c := range cleared {
			b.n.control.suspects.addCleared(b.n.clock.Now(), c)
		}
	})
}
