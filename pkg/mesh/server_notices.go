package mesh

import (
	"errors"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/advertised"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/logging"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// serverNotices is what the local backend server has advertised in its answers; Node.gateMu guards it.
type serverNotices struct {
	lifetime directory.Lifetime
	limit    advertised.Tracker
	leaving  bool
	// heldLogged is when held slots were last logged.
	heldLogged time.Time
	invalid    map[string]bool // reasons of invalid values that were logged for this lifetime
}

// startLifetime drops what an earlier lifetime of the local backend server has advertised; gateMu must be held.
func (b *backend) startLifetime(now time.Time, at directory.Lifetime) {
	if b.notices.lifetime.SameAs(at) {
		b.notices.lifetime = b.notices.lifetime.MoreKnown(at)
		return
	}
	b.notices = serverNotices{lifetime: at}
	b.n.gate.SetRateLimit(now, advertised.RateLimit{})
}

// withNotices calls f with what a lifetime of the local backend server has advertised, under gateMu. It does nothing if that
// lifetime has ended: its last answers may arrive when the next one has begun.
func (b *backend) withNotices(at directory.Lifetime, f func(s *serverNotices)) {
	b.n.gateMu.Lock()
	defer b.n.gateMu.Unlock()
	if b.notices.lifetime.SameAs(at) {
		f(&b.notices)
	}
}

// knownLimit is the rate limit of a server as the sender of a request knows it; the zero value is none.
type knownLimit struct {
	limit    advertised.RateLimit
	instance string // of the server
}

// readKnownLimit reads the rate limit that the sender of a request knows.
func (n *Node) readKnownLimit(q *request, r *http.Request) {
	v := r.Header.Get(headerKnownLimit)
	if v == "" {
		return
	}
	var err error
	if q.knownLimit.limit, q.knownLimit.instance, err = parseKnownLimit(v); err != nil {
		n.callLog.Warn("invalid peer request", "err", err, "peer", r.RemoteAddr)
	}
}

// adoptLimit takes over the rate limit that another node knows of the local backend server. It counts only while this process
// has seen no answer of the server.
func (b *backend) adoptLimit(own directory.Record, k knownLimit) {
	if !k.limit.Advertised || k.instance != own.Instance {
		return
	}
	now := b.n.clock.Now()
	b.updateLimit(own, "peer", func(t *advertised.Tracker) bool { return t.Adopt(now, k.limit) })
}

// newNotice returns the notice of a lifetime of the local backend server: the zero value unless it limits its rate or leaves.
func (n *Node) newNotice(now time.Time, at directory.Lifetime, rate gate.RateState, leaving bool) serverNotice {
	if !rate.Limit.Advertised && !leaving {
		return serverNotice{}
	}
	return serverNotice{Lifetime: at, Limit: rate.Limit, Use: int(100 * n.rateUse(now, rate)), Wait: rate.Wait, Leaving: leaving}
}

// maxRateUse bounds the use of a rate limit.
const maxRateUse = 100.0

// rateUse returns the requests that arrive for the local backend server, rejected ones included, relative to its rate limit; it
// is 0 if the server has none.
func (n *Node) rateUse(now time.Time, rate gate.RateState) float64 {
	if !rate.Limit.Advertised {
		return 0
	}
	return min(n.stats.gateArrivalRate(now)/rate.PerSecond, maxRateUse)
}

// noteHeader applies the header of an answer that the local backend server gives to the request q, sent at sent. It reports
// whether the header names no rate limit, which ends a limit once the answer has arrived whole.
func (b *backend) noteHeader(q *request, own directory.Record, sent time.Time, h http.Header) (unlimited bool) {
	limit, err := b.n.names.Advertised.ParseRateLimit(h)
	if err != nil {
		b.noteInvalid(q, own, err)
	}
	unlimited = err == nil && !limit.Advertised
	if limit.Advertised {
		b.observeLimit(own, sent, limit)
	}
	b.noteLoad(q, own, h)
	leaving, err := b.n.names.Advertised.ParseLeaving(h)
	if err != nil {
		b.noteInvalid(q, own, err)
	}
	if leaving {
		b.noteLeaving(q, own)
	}
	return unlimited
}

// noteLoad applies the load in the header of an answer at the gate: the pace, and the number of requests, of which those that the gate doesn't
// know hold slots. An answer without them tells nothing: what was told last ages.
func (b *backend) noteLoad(q *request, own directory.Record, h http.Header) {
	if b.n.off[settings.ServerPace] && b.n.off[settings.HeldSlots] {
		return
	}
	load, err := b.n.names.Advertised.ParseLoad(h)
	if err != nil {
		b.noteInvalid(q, own, err)
		return
	}
	if load == (advertised.Load{}) {
		return
	}
	b.withNotices(own.Lifetime(), func(s *serverNotices) {
		now := b.n.clock.Now()
		if load.Pace != 0 && !b.n.off[settings.ServerPace] {
			b.n.gate.SetPace(now, load.Pace)
		}
		if !b.n.off[settings.HeldSlots] {
			b.noteHeldSlots(now, s, own, load)
		}
	})
}

// heldLogPeriod is the time between log lines about held slots.
const heldLogPeriod = 10 * time.Second

// noteHeldSlots applies the number of requests that the server names; gateMu must be held.
func (b *backend) noteHeldSlots(now time.Time, s *serverNotices, own directory.Record, load advertised.Load) {
	held := b.n.gate.NoteServerLoad(now, load.Running+load.Waiting, load.Slots)
	if held > 0 && now.Sub(s.heldLogged) >= heldLogPeriod {
		s.heldLogged = now
		b.n.callLog.Info("slots held by requests of callers that left", "held", held, "running", load.Running, "waiting", load.Waiting, "instance", own.Instance)
	}
}

// observeLimit applies the rate limit in an answer to a request sent at sent.
func (b *backend) observeLimit(own directory.Record, sent time.Time, limit advertised.RateLimit) {
	now := b.n.clock.Now()
	b.updateLimit(own, "answer", func(t *advertised.Tracker) bool { return t.Observe(sent, now, limit) })
}

// updateLimit applies an update of the rate limit, which reports whether it changed the limit, at the gate; source is what the
// limit was learned from.
func (b *backend) updateLimit(own directory.Record, source string, update func(t *advertised.Tracker) bool) {
	var before, limit advertised.RateLimit
	changed := false
	b.withNotices(own.Lifetime(), func(s *serverNotices) {
		before = s.limit.Limit()
		if changed = update(&s.limit); changed {
			limit = s.limit.Limit()
			b.n.gate.SetRateLimit(b.n.clock.Now(), limit)
		}
	})
	if !changed {
		return
	}
	b.n.metrics.gauge(milliPerSecond(limit), "server_rate_limit")
	b.n.callLog.Info("rate limit of the local backend server changed", "instance", own.Instance, "limit", limit.String(),
		"before", before.String(), "from", source)
}

// logRateRejection logs that the gate rejected a request because of the server's rate limit.
func (b *backend) logRateRejection(q *request, own directory.Record, d gate.Decision) {
	now := b.n.clock.Now()
	b.n.gateMu.Lock()
	limit, age := b.notices.limit.Limit(), b.notices.limit.Age(now)
	b.n.gateMu.Unlock()
	if !logging.IsLimited(b.n.callLog, "local backend server is at its rate limit") {
		b.n.callLog.Info("local backend server is at its rate limit", "request", q.id, "instance", own.Instance, "limit", limit.String(),
			"confirmed", age, "retry_after", d.RetryAfter)
	}
}

// milliPerSecond returns a rate limit in thousandths of a request a second, or -1 for none.
func milliPerSecond(l advertised.RateLimit) int64 {
	if !l.Advertised {
		return -1
	}
	return int64(l.PerSecond * 1000)
}

// noteLeaving applies an answer by which the local backend server says that it is leaving: the gate closes before the answer is
// passed on, and all nodes learn of it by the server's record.
func (b *backend) noteLeaving(q *request, own directory.Record) {
	begins := false
	b.withNotices(own.Lifetime(), func(s *serverNotices) {
		if begins = !s.leaving; begins {
			s.leaving = true
			b.n.gate.Close()
		}
	})
	if !begins {
		return
	}
	b.n.callLog.Info("local backend server is leaving by its answer", "instance", own.Instance, "request", q.id)
	b.n.enqueue(func() {
		if b.n.control.localServer.Drain(own.Lifetime()) {
			b.n.localServerChanged("answer", false)
		}
	})
}

// isLeaving reports whether a lifetime of the local backend server has said that it is leaving; gateMu must be held.
func (b *backend) isLeaving(at directory.Lifetime) bool {
	return b.notices.leaving && b.notices.lifetime.SameAs(at)
}

// noteInvalid logs an unusable header of the local backend server, once for each lifetime and reason.
func (b *backend) noteInvalid(q *request, own directory.Record, err error) {
	var v *advertised.ValueError
	if !errors.As(err, &v) {
		return
	}
	b.n.metrics.count("server_headers_invalid_total")
	isNew := false
	b.withNotices(own.Lifetime(), func(s *serverNotices) {
		if s.invalid == nil {
			s.invalid = map[string]bool{}
		}
		key := v.Header + ": " + v.Reason
		isNew = !s.invalid[key]
		s.invalid[key] = true
	})
	if isNew {
		b.n.callLog.Warn("invalid header of the local backend server", "instance", own.Instance, "request", q.id, "err", err)
	}
}
