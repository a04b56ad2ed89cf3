package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/ledger"
	"github.com/rockspoke/rockspoke/pkg/level"
	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/routing"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// sending is a call on its way out, with all of its attempts.
type sending struct {
	treatment *config.Treatment
	call      wire.Call
	deadline  time.Time
	req       *request
	ledger    *ledger.Ledger
	// otherAttempts says that attempts under the key may exist besides the one in hand.
	otherAttempts bool
	// sent is called when the first attempt leaves.
	sent func()
}

// routeName is the name under which times of the call are learned, and route that for levels.
func (s *sending) routeName() string { return s.treatment.Service + "/" + s.treatment.Class }

func (s *sending) route() level.Route {
	return level.Route{Service: s.treatment.Service, Class: s.treatment.Class}
}

// send makes the attempts of a call and returns the last answer.
func (n *Node) send(ctx context.Context, s *sending) *answer {
	now := n.clock.Now()
	route := s.routeName()
	if s.deadline.Sub(now) < n.needs.least(route) {
		n.metrics.Inc("refused_deadline")
		return n.refuse(ctx, s, wire.ReasonDeadline)
	}
	if lvl := n.routeLevel(now, s); s.call.Priority.AtDepth(s.call.Depth+1) < lvl {
		n.metrics.Inc("refused_local")
		a := n.refuse(ctx, s, wire.ReasonBelowLevel)
		a.meta.LevelBelow = lvl
		return a
	}
	var a *answer
	if s.call.Key == "" {
		a = n.sendRepeatable(ctx, s)
	} else {
		a = n.sendOnce(ctx, s)
		a.meta.OnceOnly = true
	}
	end := n.clock.Now()
	// What this very call met goes up, not what other calls met some time ago.
	a.meta.LevelBelow = max(a.meta.LevelBelow, n.lowestLevel(end, s.treatment))
	if a.meta.Outcome == wire.Ran && a.status < 500 {
		n.needs.observe(end, route, end.Sub(now))
	}
	return a
}

// routeLevel is the level that the call meets: the lowest among the servers that it may go to, since
// any of them will do, or the highest seen below them.
func (n *Node) routeLevel(now time.Time, s *sending) priority.Priority {
	return max(n.lowestLevel(now, s.treatment), n.levels.Current(now, s.route()))
}

// sendRepeatable tries servers until one answers or the tokens are spent.
func (n *Node) sendRepeatable(ctx context.Context, s *sending) *answer {
	var tried []*routing.Server
	a := refusal(wire.ReasonNoServer, 0)
	lost := false
	defer func() {
		// A refusal of the last attempt says nothing of one whose answer was lost.
		if lost && a.meta.Outcome == wire.NotRun {
			a.meta.Outcome = wire.Unknown
		}
	}()
	for first := true; ; first = false {
		now := n.clock.Now()
		srv, found := n.pick(now, s.treatment, s.call.Priority.AtDepth(s.call.Depth+1), tried)
		if found != routing.Picked {
			if first && found == routing.BelowLevel {
				a = refusal(wire.ReasonBelowLevel, 0)
			}
			return a
		}
		if first {
			srv.EarnRetry(s.treatment.RetryShare)
		} else if !n.payRetry(s, srv) {
			return a
		}
		tried = append(tried, srv)
		a.finish()
		a = n.lendAndAttempt(ctx, s, srv)
		lost = lost || a.meta.Outcome == wire.Unknown
		if !n.worthRetry(ctx, s, a) {
			return a
		}
	}
}

// payRetry takes a token of the request and of the target; without both there is no retry.
func (n *Node) payRetry(s *sending, srv *routing.Server) bool {
	if s.ledger.Balance() == 0 || !srv.TakeRetry() || !s.ledger.Spend() {
		n.metrics.Inc("retries_denied")
		return false
	}
	n.metrics.Inc("retries")
	return true
}

// worthRetry tells whether another attempt is safe and sensible.
func (n *Node) worthRetry(ctx context.Context, s *sending, a *answer) bool {
	if ctx.Err() != nil || !n.clock.Now().Before(s.deadline) {
		return false
	}
	switch a.meta.Outcome {
	case wire.NotRun:
		return a.meta.Reason.OtherServerMayAccept()
	case wire.Unknown:
		return !a.meta.OnceOnly
	default:
		return false
	}
}

// lendAndAttempt makes one attempt with a share of the tokens.
func (n *Node) lendAndAttempt(ctx context.Context, s *sending, srv *routing.Server) *answer {
	if s.sent != nil {
		s.sent()
	}
	call := s.call
	call.Depth++
	call.RetryTokens = s.ledger.Lend()
	a := n.attempt(ctx, srv, call, s.deadline, s.req)
	n.settleLoan(s.ledger, call.RetryTokens, a)
	n.observeLevel(s, a)
	return a
}

func (n *Node) settleLoan(l *ledger.Ledger, lent int, a *answer) {
	switch {
	case a.heard:
		l.Return(lent, a.meta.ReturnedTokens)
	case a.meta.Outcome == wire.NotRun:
		l.Return(lent, lent)
	default:
		l.WriteOff(lent)
	}
}

// observeLevel learns from answers of daemons; an attempt that got none teaches nothing.
func (n *Node) observeLevel(s *sending, a *answer) {
	if !a.heard {
		return
	}
	n.levels.Observe(n.clock.Now(), s.route(), a.meta.LevelBelow)
}

func (n *Node) pick(now time.Time, t *config.Treatment, p priority.Priority, tried []*routing.Server) (s *routing.Server, o routing.Outcome) {
	groups := n.groups(t)
	n.random(func(r *rand.Rand) { s, o = routing.Pick(now, r, groups, p, tried) })
	return s, o
}

// lowestLevel returns the lowest level among the servers of the treatment, 0 if there are none.
func (n *Node) lowestLevel(now time.Time, t *config.Treatment) priority.Priority {
	low := priority.Max
	any := false
	for _, g := range n.groups(t) {
		if g.Weight == 0 {
			continue
		}
		for _, list := range [][]*routing.Server{g.SameZone, g.OtherZones} {
			for _, s := range list {
				any = true
				low = min(low, s.Level(now))
			}
		}
	}
	if !any {
		return 0
	}
	return low
}

// attempt sends the call to one server's daemon and takes in what the answer shows of it.
func (n *Node) attempt(ctx context.Context, srv *routing.Server, call wire.Call, deadline time.Time, q *request) *answer {
	now := n.clock.Now()
	call.RemainingMS = deadline.Sub(now).Milliseconds()
	if call.RemainingMS <= 0 {
		return refusal(wire.ReasonDeadline, 0)
	}
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(now))
	srv.Begin()
	a := n.peers.call(ctx, srv, call, q)
	srv.End()
	if a.rest == nil {
		cancel()
	} else {
		a.rest = &cancelReader{ReadCloser: a.rest, cancel: cancel}
	}
	n.takeIn(ctx, srv, a)
	return a
}

func (n *Node) takeIn(ctx context.Context, srv *routing.Server, a *answer) {
	now := n.clock.Now()
	switch {
	case a.heard:
		srv.ObserveAnswer(now, a.meta)
		if a.meta.ConfigVersion > n.snapshot.Load().version() {
			n.wantFrom(srv.VM)
		}
	case a.meta.Reason == wire.ReasonNoServer:
		srv.ObserveFailure(now, true)
	case a.meta.Outcome == wire.Unknown && context.Cause(ctx) != context.Canceled:
		n.metrics.Inc("lost_answers")
		srv.ObserveFailure(now, false)
	}
}

// refuse gives a refusal before any attempt. For a caller's own key the home settles it first, since
// an earlier attempt may have come by another way.
func (n *Node) refuse(ctx context.Context, s *sending, reason wire.Reason) *answer {
	if s.call.Key == "" || !s.otherAttempts {
		return refusal(reason, 0)
	}
	reply, err := n.settle(ctx, s)
	if err != nil {
		return uncertain(reason)
	}
	if reply.Outcome == wire.NotRun {
		return refusal(reason, time.Duration(reply.AfterMS)*time.Millisecond)
	}
	// It ran or runs: a repeat would be joined or answered at the home, so let this one through.
	a := n.sendOnce(ctx, s)
	a.meta.OnceOnly = true
	return a
}
