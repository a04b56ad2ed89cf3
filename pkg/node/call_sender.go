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

// outgoingCall is a call that this node sends, with the state of all its attempts.
type outgoingCall struct {
	treatment *config.Treatment
	resolve   func(*config.Plan) *config.Treatment // returns the call's treatment by a plan, or nil
	call      wire.Call
	deadline  time.Time
	req       *request
	ledger    *ledger.Ledger
	// otherAttempts says that attempts under the key may exist besides the current one.
	otherAttempts bool
	token         *childToken // of a call made by once-only work; nil for others
	// onAttempt, if set, is called before each attempt.
	onAttempt func()
}

// latencyRoute returns the route under which the call's latency is tracked.
func (s *outgoingCall) latencyRoute() string { return s.treatment.Service + "/" + s.treatment.Class }

// levelRoute returns the route under which the call's admission level is tracked.
func (s *outgoingCall) levelRoute() level.Route {
	return level.Route{Service: s.treatment.Service, Class: s.treatment.Class}
}

// send makes the attempts of a call and returns the last answer. It refuses a call that its remaining time or its
// priority doesn't allow.
func (n *Node) send(ctx context.Context, s *outgoingCall) *answer {
	now := n.clock.Now()
	route := s.latencyRoute()
	if floor, late := n.latencyFloors.tooLate(now, route, s.deadline.Sub(now)); late {
		n.metrics.Inc("refused_deadline")
		n.log.call.Info("too little time is left for a call", "request", s.call.RootID, "route", route, "left", s.deadline.Sub(now), "floor", floor)
		return n.refuseBeforeAttempt(ctx, s, wire.ReasonDeadline)
	}
	if lvl := n.routeLevel(now, s); s.call.Priority.AtDepth(s.call.Depth+1) < lvl {
		n.metrics.Inc("refused_local")
		a := n.refuseBeforeAttempt(ctx, s, wire.ReasonBelowLevel)
		a.meta.LevelBelow = lvl
		return a
	}
	var a *answer
	if s.call.Key == "" {
		a = n.sendRetryable(ctx, s)
	} else {
		a = n.sendOnceOnly(ctx, s)
		a.meta.OnceOnly = true
	}
	end := n.clock.Now()
	// Report the level that this call met, not a level that earlier calls met.
	a.meta.LevelBelow = max(a.meta.LevelBelow, n.lowestLevel(end, s.treatment))
	if a.meta.Outcome == wire.Ran && a.status < 500 {
		n.latencyFloors.observe(end, route, end.Sub(now))
	}
	return a
}

// routeLevel returns the admission level that the call must reach: the lowest among the servers that may run it, since one
// of them is enough, or the level seen in the services below them if that is higher.
func (n *Node) routeLevel(now time.Time, s *outgoingCall) priority.Priority {
	return max(n.lowestLevel(now, s.treatment), n.levels.Current(now, s.levelRoute()))
}

// sendRetryable tries servers until an answer needs no retry or the retry tokens are spent.
func (n *Node) sendRetryable(ctx context.Context, s *outgoingCall) *answer {
	var tried []*routing.Server
	a := notRunAnswer(wire.ReasonNoServer, 0)
	lost := false
	defer func() {
		// That the last attempt didn't run says nothing of one whose answer was lost.
		if lost && a.meta.Outcome == wire.NotRun {
			a.meta.Outcome = wire.Unknown
		}
	}()
	for first := true; ; first = false {
		now := n.clock.Now()
		srv, found := n.pickForCall(now, s, tried)
		if found != routing.Picked {
			if first && found == routing.BelowLevel {
				a = notRunAnswer(wire.ReasonBelowLevel, 0)
			}
			return a
		}
		if first {
			srv.EarnRetry(s.treatment.RetryShare)
		} else if !n.takeRetryTokens(s, srv) {
			return a
		}
		tried = append(tried, srv)
		a.discardRest()
		a = n.attemptWithLoan(ctx, s, srv)
		lost = lost || a.meta.Outcome == wire.Unknown
		if !n.shouldRetry(ctx, s, a) {
			return a
		}
	}
}

// pickForCall chooses a server for an attempt by the plan in force: since the call was made or last tried, an edit may have moved its traffic.
func (n *Node) pickForCall(now time.Time, s *outgoingCall, tried []*routing.Server) (*routing.Server, routing.Outcome) {
	snap := n.snapshot.Load()
	s.resolveBy(snap.plan)
	s.call.ConfigVersion = snap.version()
	return n.pickServer(snap, now, s.treatment, s.call.Priority.AtDepth(s.call.Depth+1), tried)
}

// resolveBy replaces the call's treatment by that of the plan; it reports whether that is another one.
func (s *outgoingCall) resolveBy(plan *config.Plan) bool {
	if plan == nil || s.resolve == nil {
		return false
	}
	t := s.resolve(plan)
	if t == nil || t == s.treatment || t.Service != s.treatment.Service || t.OnceOnly != s.treatment.OnceOnly {
		return false
	}
	s.treatment = t
	return true
}

// takeRetryTokens takes one retry token of the request and one of the server; it reports false unless both have one.
func (n *Node) takeRetryTokens(s *outgoingCall, srv *routing.Server) bool {
	if s.ledger.Balance() == 0 || !srv.TakeRetry() || !s.ledger.Spend() {
		n.metrics.Inc("retries_denied")
		return false
	}
	n.metrics.Inc("retries")
	return true
}

// shouldRetry tells whether another attempt is safe and useful.
func (n *Node) shouldRetry(ctx context.Context, s *outgoingCall, a *answer) bool {
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

// attemptWithLoan makes one attempt, with a part of the retry tokens lent to it, and settles the loan.
func (n *Node) attemptWithLoan(ctx context.Context, s *outgoingCall, srv *routing.Server) *answer {
	if s.onAttempt != nil {
		s.onAttempt()
	}
	call := s.call
	call.Depth++
	call.RetryTokens = s.ledger.Lend()
	a := n.attempt(ctx, srv, call, s.deadline, s.req)
	n.settleLoan(s.ledger, call.RetryTokens, a)
	n.observeLevel(s, a)
	return a
}

// settleLoan returns to the ledger the tokens that an attempt gave back: all of them if it certainly didn't run, none if
// its answer was lost.
func (n *Node) settleLoan(l *ledger.Ledger, lent int, a *answer) {
	switch {
	case a.fromDaemon:
		l.Return(lent, a.meta.ReturnedTokens)
	case a.meta.Outcome == wire.NotRun:
		l.Return(lent, lent)
	default:
		l.WriteOff(lent)
	}
}

// observeLevel learns the admission level from a daemon's answer; other answers carry none.
func (n *Node) observeLevel(s *outgoingCall, a *answer) {
	if !a.fromDaemon {
		return
	}
	n.levels.Observe(n.clock.Now(), s.levelRoute(), a.meta.LevelBelow)
}

// pickServer chooses a server for a call of priority p among those of the snapshot that aren't in tried.
func (n *Node) pickServer(snap *snapshot, now time.Time, t *config.Treatment, p priority.Priority, tried []*routing.Server) (s *routing.Server, o routing.Outcome) {
	groups := snap.groupsOf(n.choice(), &n.pool, t)
	n.withRand(func(r *rand.Rand) { s, o = routing.Pick(now, r, groups, p, tried) })
	return s, o
}

// lowestLevel returns the lowest admission level among the treatment's servers, 0 if there are none.
func (n *Node) lowestLevel(now time.Time, t *config.Treatment) priority.Priority {
	low := priority.Max
	found := false
	for _, g := range n.serverGroups(t) {
		if g.Weight == 0 {
			continue
		}
		for _, list := range [][]*routing.Server{g.SameZone, g.OtherZones} {
			for _, s := range list {
				found = true
				low = min(low, s.Level(now))
			}
		}
	}
	if !found {
		return 0
	}
	return low
}

// attempt sends the call to one server's daemon and records what the answer shows of the server.
func (n *Node) attempt(ctx context.Context, srv *routing.Server, call wire.Call, deadline time.Time, q *request) *answer {
	now := n.clock.Now()
	call.RemainingMS = deadline.Sub(now).Milliseconds()
	if call.RemainingMS <= 0 {
		return notRunAnswer(wire.ReasonDeadline, 0)
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
	n.recordAttempt(ctx, srv, a)
	return a
}

// recordAttempt records an attempt's result for the server: the state that its answer carries, or a failure.
func (n *Node) recordAttempt(ctx context.Context, srv *routing.Server, a *answer) {
	now := n.clock.Now()
	if a.cause != nil {
		n.log.call.Info("attempt got no answer", "to", srv.VM, "outcome", a.meta.Outcome, "reason", a.meta.Reason, "err", a.cause)
	}
	switch {
	case a.fromDaemon && a.meta.Reason == wire.ReasonStarting:
		srv.ObserveFailure(now, true)
	case a.fromDaemon:
		srv.ObserveAnswer(now, a.meta)
		if a.meta.ConfigVersion > n.snapshot.Load().version() {
			n.requestExchange(srv.VM)
		}
	case a.meta.Reason == wire.ReasonNoServer:
		srv.ObserveFailure(now, true)
	case a.meta.Outcome == wire.Unknown && context.Cause(ctx) != context.Canceled:
		n.metrics.Inc("lost_answers")
		srv.ObserveFailure(now, false)
	}
}

// refuseBeforeAttempt refuses a call that this node hasn't sent. If earlier attempts under its key may exist, as another
// entry may have sent one, the key's home settles the key first.
func (n *Node) refuseBeforeAttempt(ctx context.Context, s *outgoingCall, reason wire.Reason) *answer {
	if s.call.Key == "" || !s.otherAttempts {
		return notRunAnswer(reason, 0)
	}
	reply, err := n.settleAtHome(ctx, s)
	if err != nil {
		return unknownAnswer(reason)
	}
	if reply.Outcome == wire.NotRun {
		return notRunAnswer(reason, time.Duration(reply.AfterMS)*time.Millisecond)
	}
	// The work ran or is running, so the home would join the call or replay its answer: send it.
	a := n.sendOnceOnly(ctx, s)
	a.meta.OnceOnly = true
	return a
}
