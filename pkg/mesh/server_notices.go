package mesh

import (
	"errors"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/advertised"
	"github.com/rockspoke/rockspoke/pkg/directory"
)

// serverNotices is what the local backend server has advertised in its answers; Node.gateMu guards it.
type serverNotices struct {
	lifetime directory.Lifetime
	limit    advertised.Tracker
	leaving  bool
	invalid  map[string]bool // reasons of invalid values that were logged for this lifetime
}

// of drops what an earlier lifetime advertised.
func (s *serverNotices) of(at directory.Lifetime) {
	if !s.lifetime.SameAs(at) {
		*s = serverNotices{}
	}
	s.lifetime = at
}

// noteHeader applies the header of an answer that the local backend server gives to the request q, sent at sent.
func (b *backend) noteHeader(q *request, own directory.Record, sent time.Time, h http.Header) {
	limit, err := b.n.names.Advertised.ParseRateLimit(h)
	if err != nil {
		b.noteInvalid(q, own, err)
	}
	if limit.Advertised {
		b.observeLimit(own, sent, limit)
	}
	leaving, err := b.n.names.Advertised.ParseLeaving(h)
	if err != nil {
		b.noteInvalid(q, own, err)
	}
	if leaving {
		b.noteLeaving(q, own)
	}
}

// noteWholeAnswer applies the absence of a rate limit, which only an answer that arrived whole shows.
func (b *backend) noteWholeAnswer(own directory.Record, sent time.Time, h http.Header) {
	if limit, err := b.n.names.Advertised.ParseRateLimit(h); err == nil && !limit.Advertised {
		b.observeLimit(own, sent, limit)
	}
}

// observeLimit applies the rate limit in an answer to a request sent at sent.
func (b *backend) observeLimit(own directory.Record, sent time.Time, limit advertised.RateLimit) {
	now := b.n.clock.Now()
	b.n.gateMu.Lock()
	b.notices.of(own.Lifetime())
	before := b.notices.limit.Limit()
	changed := b.notices.limit.Observe(sent, now, limit)
	b.n.gateMu.Unlock()
	if changed {
		b.logLimit(own, before, limit, "answer")
	}
}

// logLimit logs a change of the rate limit in force; source is what it was learned from.
func (b *backend) logLimit(own directory.Record, before, limit advertised.RateLimit, source string) {
	b.n.metrics.gauge(milliPerSecond(limit), "server_rate_limit")
	b.n.callLog.Info("rate limit of the local backend server changed", "instance", own.Instance, "limit", limit.String(),
		"before", before.String(), "from", source)
}

// milliPerSecond returns a rate limit in thousandths of a request a second, or -1 for none.
func milliPerSecond(l advertised.RateLimit) int64 {
	if !l.Advertised {
		return -1
	}
	return int64(l.PerSecond * 1000)
}

// noteLeaving applies an answer by which the local backend server says that it is leaving.
func (b *backend) noteLeaving(q *request, own directory.Record) {
	b.n.gateMu.Lock()
	b.notices.of(own.Lifetime())
	known := b.notices.leaving
	b.notices.leaving = true
	b.n.gateMu.Unlock()
	if !known {
		b.n.callLog.Info("local backend server is leaving by its answer", "instance", own.Instance, "request", q.id)
	}
}

// noteInvalid logs an unusable header of the local backend server, once for each lifetime and reason.
func (b *backend) noteInvalid(q *request, own directory.Record, err error) {
	var v *advertised.ValueError
	if !errors.As(err, &v) {
		return
	}
	b.n.metrics.count("server_headers_invalid_total")
	b.n.gateMu.Lock()
	b.notices.of(own.Lifetime())
	if b.notices.invalid == nil {
		b.notices.invalid = map[string]bool{}
	}
	key := v.Header + ": " + v.Reason
	logged := b.notices.invalid[key]
	b.notices.invalid[key] = true
	b.n.gateMu.Unlock()
	if !logged {
		b.n.callLog.Warn("invalid header of the local backend server", "instance", own.Instance, "request", q.id, "err", err)
	}
}
