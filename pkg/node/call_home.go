package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/routing"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// lockedHome guards this node's Home with a mutex.
type lockedHome struct {
	mu   sync.Mutex
	home onceonly.Home
}

// newLockedHome returns a lockedHome with a copy of h.
func newLockedHome(h onceonly.Home) *lockedHome { return &lockedHome{home: h} }

// with calls fn with the home locked.
func (k *lockedHome) with(fn func(*onceonly.Home)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fn(&k.home)
}

// keyCloseMargin is added to a class's timeout when a key is closed, for attempts still in flight.
const keyCloseMargin = 250 * time.Millisecond

// keyCheck is what is known of a key before its record is looked up.
type keyCheck struct {
	hash      onceonly.KeyHash
	provenNew bool
	refused   *answer // set if this node can't handle the key
	previous  string  // the VM that still serves the key's range, if it was announced to this node
}

// checkHomeKey checks that this node is the key's home, and that a token is valid and either recent or in memory.
func (n *Node) checkHomeKey(now time.Time, key string) keyCheck {
	check := keyCheck{hash: onceonly.HashKey(n.cfg.Service, key)}
	if !onceonly.IsToken(key) {
		n.home.with(func(h *onceonly.Home) {
			if h.Owns(check.hash.Range()) {
				return
			}
			check.refused = notRunAnswer(wire.ReasonNotOwner, 0)
			if o, ok := h.Previous(check.hash.Range()); ok {
				check.previous = o.VM
			}
		})
		return check
	}
	t, err := onceonly.ParseToken(n.keys.Current().Secret, key)
	switch {
	case err != nil:
		check.refused = notRunAnswer(wire.ReasonBadRequest, 0)
	case t.VM != n.cfg.VM || t.Service != n.cfg.Service:
		check.refused = notRunAnswer(wire.ReasonNotOwner, 0)
	case t.Incarnation != n.incarnation:
		check.refused = unknownAnswer(wire.ReasonHistoryLost)
	default:
		check.provenNew = t.Fresh(now, n.cfg.OnceOnly.TokenLife)
		if !check.provenNew && !n.hasRecord(check.hash) {
			check.refused = unknownAnswer(wire.ReasonAnswerLost)
		}
	}
	return check
}

// hasRecord tells whether the home's memory holds the key.
func (n *Node) hasRecord(key onceonly.KeyHash) (known bool) {
	n.home.with(func(h *onceonly.Home) { known = h.Memory.Knows(key) })
	return known
}

// serveHome handles an attempt under a key whose home is this node: it runs the work, joins a run in progress, replays
// its answer or refuses it.
func (n *Node) serveHome(ctx context.Context, in *inbound, q *request) *answer {
	now := n.clock.Now()
	check := n.checkHomeKey(now, in.call.Key)
	if check.previous != "" {
		return n.forwardToPrevious(ctx, in, q, check)
	}
	if check.refused != nil {
		return check.refused
	}
	done := make(chan onceonly.Record, 1)
	var d onceonly.Decision
	owner := true
	n.home.with(func(h *onceonly.Home) {
		// Check ownership again under the same lock as the decision: the range may have closed since checkHomeKey.
		if owner = onceonly.IsToken(in.call.Key) || h.Owns(check.hash.Range()); !owner {
			return
		}
		// A key that was refused opens again when its attempts have been given up, so none of these may begin afterwards.
		if ctx.Err() != nil {
			return
		}
		d = h.Memory.Begin(now, check.hash, fingerprint(q), check.provenNew)
		if d.Action == onceonly.Join {
			h.Memory.Wait(check.hash, func(rec onceonly.Record) { done <- rec })
		}
	})
	if !owner {
		return notRunAnswer(wire.ReasonNotOwner, 0)
	}
	switch d.Action {
	case 0: // the sender gave the attempt up
		return unknownAnswer(wire.ReasonDeadline)
	case onceonly.Run:
		return n.runOnce(ctx, in, q, check.hash)
	case onceonly.Join:
		n.metrics.Inc("once_joined")
		return awaitRecord(ctx, done)
	case onceonly.Replay:
		n.metrics.Inc("once_replayed")
		return answerFromRecord(d.Answer)
	default:
		if d.Outcome == wire.Unknown {
			n.metrics.Inc("once_unknown")
		}
		return &answer{meta: wire.Answer{Outcome: d.Outcome, Reason: d.Reason, RetryAfterMS: d.RetryAfter.Milliseconds()}}
	}
}

// forwardToPrevious sends an attempt to the owner that still serves the key's range. It refuses the attempt as not the key's home if that VM
// isn't listed or can't be reached, since only that owner knows whether the key has run.
func (n *Node) forwardToPrevious(ctx context.Context, in *inbound, q *request, check keyCheck) *answer {
	vm, ok := n.snapshot.Load().vms[check.previous]
	if !ok {
		return check.refused
	}
	a := n.forward(ctx, in, q, in.call, n.pool.Get(vm))
	if a.meta.Outcome == wire.NotRun && !a.fromDaemon {
		return check.refused
	}
	return a
}

// forward sends a call on to one server, with a part of its retry tokens lent.
func (n *Node) forward(ctx context.Context, in *inbound, q *request, call wire.Call, s *routing.Server) *answer {
	call.RetryTokens = in.ledger.Lend()
	a := n.attempt(ctx, s, call, in.deadline, q)
	n.settleLoan(in.ledger, call.RetryTokens, a)
	return a
}

// awaitRecord waits for the run in progress under the key and returns its answer.
func awaitRecord(ctx context.Context, done <-chan onceonly.Record) *answer {
	select {
	case rec := <-done:
		switch rec.State {
		case onceonly.Finished:
			return answerFromRecord(rec.Answer)
		case onceonly.Closed:
			return notRunAnswer(wire.ReasonKeyClosed, 0)
		case onceonly.Running:
			return notRunAnswer(wire.ReasonNotOwner, 0) // the range left while the attempt waited for a run elsewhere
		default:
			return unknownAnswer(wire.ReasonAnswerLost)
		}
	case <-ctx.Done():
		return unknownAnswer(wire.ReasonInProgress)
	}
}

// runOnce runs the work under the key. The run continues if the caller leaves, so that its result is recorded for the
// caller's retry; only its deadline ends it.
func (n *Node) runOnce(ctx context.Context, in *inbound, q *request, key onceonly.KeyHash) *answer {
	n.metrics.Inc("once_runs")
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), in.deadline.Sub(n.clock.Now()))
	in.ctx = runCtx
	result := make(chan *answer, 1)
	n.running.Add(1)
	go func() {
		defer n.running.Add(-1)
		defer cancel()
		a := n.runOrDelegate(runCtx, in, q)
		rec := a.toRecorded()
		now := n.clock.Now()
		late := false
		n.home.with(func(h *onceonly.Home) {
			late = h.Memory.Finish(now, key, a.meta.Outcome, rec, now.Add(n.keyCloseDuration(in.call, q)))
		})
		result <- a
		if late {
			n.sendLateRecord(n.ctx, key)
		}
	}()
	select {
	case a := <-result:
		return a
	case <-ctx.Done():
		// Outbound calls of the run still belong to this call until the run ends.
		in.detached = true
		go func() {
			<-result
			n.endInbound(in)
		}()
		return unknownAnswer(wire.ReasonInProgress)
	}
}

// keyCloseDuration returns how long a refused key stays closed: as long as any attempt may still be in flight.
func (n *Node) keyCloseDuration(call wire.Call, q *request) time.Duration {
	longest := call.Remaining()
	if plan := n.snapshot.Load().plan; plan != nil {
		if t := plan.CallTreatment(call.Service, q.match()); t != nil {
			longest = max(longest, t.Timeout)
		}
	}
	return longest + keyCloseMargin
}

// runOrDelegate runs once-only work here, or delegates it to another backend server if this one can't admit it. If no server was found by a
// configuration or list of VMs that changed meanwhile, it decides again by the newest.
func (n *Node) runOrDelegate(ctx context.Context, in *inbound, q *request) *answer {
	for {
		snap := n.snapshot.Load()
		a, foundServer := n.runOrDelegateBy(ctx, snap, in, q)
		if foundServer || n.snapshot.Load() == snap || ctx.Err() != nil {
			return a
		}
	}
}

// runOrDelegateBy decides by one snapshot whether the work runs here; it reports whether there was a server that might run it.
func (n *Node) runOrDelegateBy(ctx context.Context, snap *snapshot, in *inbound, q *request) (a *answer, foundServer bool) {
	if snap.plan == nil {
		return notRunAnswer(wire.ReasonNoServer, 0), true
	}
	t := snap.plan.CallTreatment(n.cfg.Service, q.match())
	targeted := snap.localTargets[t]
	a = notRunAnswer(wire.ReasonLeaving, 0)
	if targeted {
		a = n.runLocal(ctx, in, q)
	}
	if a.meta.Outcome != wire.NotRun || !a.meta.Reason.OtherServerMayAccept() {
		return a, true
	}
	a, delegated := n.delegate(ctx, in, q, t, a)
	return a, targeted || delegated
}

// maxDelegates limits the other servers to which a home sends one run.
const maxDelegates = 2

// delegate sends a run to other backend servers, one after the other, as long as each certainly didn't run it. It
// returns the last answer, or a if there is no other server, and reports whether there was one.
func (n *Node) delegate(ctx context.Context, in *inbound, q *request, t *config.Treatment, a *answer) (last *answer, found bool) {
	tried := n.localServers()
	for i := range maxDelegates {
		now := n.clock.Now()
		snap := n.snapshot.Load()
		s, outcome := n.pickServer(snap, now, t, in.call.Priority, tried)
		if outcome != routing.Picked {
			n.log.once.Info("no server to delegate to", "request", in.call.RootID, "tried", len(tried), "version", snap.version(),
				"reason", a.meta.Reason)
			return a, i > 0
		}
		tried = append(tried, s)
		n.metrics.Inc("once_delegated")
		call := in.call
		call.Delegated = true
		call.ConfigVersion = snap.version()
		a = n.forward(ctx, in, q, call, s)
		if a.meta.Outcome != wire.NotRun {
			return a, true
		}
	}
	return a, true
}

// localServers returns the local backend server as a list, empty if its VM isn't listed.
func (n *Node) localServers() []*routing.Server {
	if vm, ok := n.snapshot.Load().vms[n.cfg.VM]; ok {
		return []*routing.Server{n.pool.Get(vm)}
	}
	return nil
}

// fingerprint hashes the request's method, URI and body, to detect different requests under the same key.
func fingerprint(q *request) uint64 {
	d := xxhash.New()
	for _, s := range []string{q.method, q.uri} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.body)
	return d.Sum64()
}

// settleRequest asks a key's home whether a call may be refused.
type settleRequest struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	CloseMS int64  `json:"close_ms"`
}

// settleReply is what the home knows of the key.
type settleReply struct {
	Outcome wire.Outcome `json:"outcome"`
	Reason  wire.Reason  `json:"reason"`
	AfterMS int64        `json:"after_ms,omitempty"`
}

// errHomeUnavailable reports that a key's home isn't known or listed.
var errHomeUnavailable = errors.New("the home of the key can't be asked")

// settleAtPrevious asks the owner that still serves the key's range.
func (n *Node) settleAtPrevious(ctx context.Context, vm member.VM, in settleRequest) settleReply {
	var out settleReply
	if err := n.peers.control(ctx, vm.Name, vm.Peer, pathSettle, in, &out); err != nil {
		n.log.once.Debug("previous owner can't settle a key", "vm", vm.Name, "err", err)
		return settleReply{Outcome: wire.Unknown, Reason: wire.ReasonNotOwner}
	}
	return out
}

// settleKey returns what this home knows of a key that an entry is about to refuse; it closes an unknown key, so that
// the refusal holds for all attempts.
func (n *Node) settleKey(ctx context.Context, in settleRequest) settleReply {
	check := n.checkHomeKey(n.clock.Now(), in.Key)
	if vm, ok := n.snapshot.Load().vms[check.previous]; ok && in.Service == n.cfg.Service {
		return n.settleAtPrevious(ctx, vm, in)
	}
	if check.refused != nil || in.Service != n.cfg.Service {
		return settleReply{Outcome: wire.Unknown, Reason: wire.ReasonNotOwner}
	}
	now := n.clock.Now()
	var d onceonly.Decision
	owner := true
	n.home.with(func(h *onceonly.Home) {
		// Check ownership again, as in serveHome.
		if owner = onceonly.IsToken(in.Key) || h.Owns(check.hash.Range()); !owner {
			return
		}
		closeFor := time.Duration(in.CloseMS)*time.Millisecond + keyCloseMargin
		d = h.Memory.Settle(now, check.hash, check.provenNew, now.Add(closeFor))
	})
	if !owner {
		return settleReply{Outcome: wire.Unknown, Reason: wire.ReasonNotOwner}
	}
	if d.Action == onceonly.Replay {
		return settleReply{Outcome: wire.Ran}
	}
	return settleReply{Outcome: d.Outcome, Reason: d.Reason, AfterMS: d.RetryAfter.Milliseconds()}
}
