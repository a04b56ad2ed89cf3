package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/routing"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// lockedHome lets goroutines share this node's Home.
type lockedHome struct {
	mu   sync.Mutex
	home onceonly.Home
}

func newLockedHome(h onceonly.Home) *lockedHome { return &lockedHome{home: h} }

// with calls fn with the home locked.
func (k *lockedHome) with(fn func(*onceonly.Home)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fn(&k.home)
}

// keyCloseMargin is added to a class's time-out for attempts that are still under way when a key is closed.
const keyCloseMargin = 250 * time.Millisecond

// keyCheck is what the home knows of a key before it looks into its memory.
type keyCheck struct {
	hash      onceonly.Hash
	provenNew bool
	refused   *answer // set if this node can't decide about the key
}

// checkHomeKey checks that this node is the key's home.
func (n *Node) checkHomeKey(now time.Time, key string) keyCheck {
	w := keyCheck{hash: onceonly.HashKey(n.cfg.Service, key)}
	if !onceonly.IsToken(key) {
		n.home.with(func(h *onceonly.Home) {
			if !h.Owns(w.hash.Range()) {
				w.refused = notRunAnswer(wire.ReasonNotOwner, 0)
			}
		})
		return w
	}
	t, err := onceonly.ParseToken(n.keys.Current().Secret, key)
	switch {
	case err != nil:
		w.refused = notRunAnswer(wire.ReasonBadRequest, 0)
	case t.VM != n.cfg.VM || t.Service != n.cfg.Service:
		w.refused = notRunAnswer(wire.ReasonNotOwner, 0)
	case t.Incarnation != n.incarnation:
		w.refused = unknownAnswer(wire.ReasonQuiet)
	default:
		w.provenNew = t.Fresh(now, n.cfg.OnceOnly.TokenLife)
		if !w.provenNew && !n.hasRecord(w.hash) {
			w.refused = unknownAnswer(wire.ReasonLost)
		}
	}
	return w
}

func (n *Node) hasRecord(key onceonly.Hash) (known bool) {
	n.home.with(func(h *onceonly.Home) { known = h.Memory.Knows(key) })
	return known
}

// serveHome decides about an attempt under a key whose home this node is.
func (n *Node) serveHome(ctx context.Context, in *inbound, q *request) *answer {
	now := n.clock.Now()
	w := n.checkHomeKey(now, in.call.Key)
	if w.refused != nil {
		return w.refused
	}
	done := make(chan onceonly.Record, 1)
	var d onceonly.Decision
	owner := true
	n.home.with(func(h *onceonly.Home) {
		// Ownership is looked at again, together with the decision: the range may have closed in between.
		if owner = onceonly.IsToken(in.call.Key) || h.Owns(w.hash.Range()); !owner {
			return
		}
		d = h.Memory.Begin(now, w.hash, fingerprint(q), w.provenNew)
		if d.Action == onceonly.Join {
			h.Memory.Wait(w.hash, func(rec onceonly.Record) { done <- rec })
		}
	})
	if !owner {
		return notRunAnswer(wire.ReasonNotOwner, 0)
	}
	switch d.Action {
	case onceonly.Run:
		return n.runOnce(ctx, in, q, w.hash)
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
		return &answer{meta: wire.Answer{Outcome: d.Outcome, Reason: d.Reason, AfterMS: d.After.Milliseconds()}}
	}
}

func awaitRecord(ctx context.Context, done <-chan onceonly.Record) *answer {
	select {
	case rec := <-done:
		switch rec.State {
		case onceonly.Finished:
			return answerFromRecord(rec.Answer)
		case onceonly.Closed:
			return notRunAnswer(wire.ReasonClosed, 0)
		default:
			return unknownAnswer(wire.ReasonLost)
		}
	case <-ctx.Done():
		return unknownAnswer(wire.ReasonRunning)
	}
}

// runOnce runs the work under the key. It goes on when the caller leaves, so that its end is recorded
// for the caller's repeat; only its deadline ends it.
func (n *Node) runOnce(ctx context.Context, in *inbound, q *request, key onceonly.Hash) *answer {
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
		n.home.with(func(h *onceonly.Home) {
			h.Memory.Finish(now, key, a.meta.Outcome, rec, now.Add(n.keyCloseDuration(in.call, q)))
		})
		result <- a
	}()
	select {
	case a := <-result:
		return a
	case <-ctx.Done():
		// What the backend server calls until the end still belongs to this call.
		in.detached = true
		go func() {
			<-result
			n.endInbound(in)
		}()
		return unknownAnswer(wire.ReasonRunning)
	}
}

// keyCloseDuration returns how long a refused key stays closed: as long as any attempt may still be under way.
func (n *Node) keyCloseDuration(call wire.Call, q *request) time.Duration {
	longest := call.Remain()
	if plan := n.snapshot.Load().plan; plan != nil {
		if t := plan.Call(call.Service, q.match()); t != nil {
			longest = max(longest, t.Timeout)
		}
	}
	return longest + keyCloseMargin
}

// runOrDelegate runs once-only work here, or hands it to another backend server where this one can't take it.
func (n *Node) runOrDelegate(ctx context.Context, in *inbound, q *request) *answer {
	plan := n.snapshot.Load().plan
	if plan == nil {
		return notRunAnswer(wire.ReasonNoServer, 0)
	}
	t := plan.Call(n.cfg.Service, q.match())
	a := notRunAnswer(wire.ReasonLeaving, 0)
	if n.snapshot.Load().localTargets[t] {
		a = n.runLocal(ctx, in, q)
	}
	if a.meta.Outcome != wire.NotRun || !a.meta.Reason.Elsewhere() {
		return a
	}
	return n.delegate(ctx, in, q, t, a)
}

// maxDelegates is how many other servers a home asks to take one run.
const maxDelegates = 2

// delegate hands a run to other backend servers as long as they certainly don't take it.
func (n *Node) delegate(ctx context.Context, in *inbound, q *request, t *config.Treatment, a *answer) *answer {
	tried := n.localServers()
	for range maxDelegates {
		now := n.clock.Now()
		s, found := n.pickServer(now, t, in.call.Priority, tried)
		if found != routing.Picked {
			return a
		}
		tried = append(tried, s)
		n.metrics.Inc("once_delegated")
		call := in.call
		call.Delegated = true
		lent := in.ledger.Lend()
		call.Tokens = lent
		a = n.attempt(ctx, s, call, in.deadline, q)
		n.settleLoan(in.ledger, lent, a)
		if a.meta.Outcome != wire.NotRun {
			return a
		}
	}
	return a
}

func (n *Node) localServers() []*routing.Server {
	if vm, ok := n.snapshot.Load().vms[n.cfg.VM]; ok {
		return []*routing.Server{n.pool.Get(vm)}
	}
	return nil
}

// fingerprint tells requests apart that come under the same key.
func fingerprint(q *request) uint64 {
	d := xxhash.New()
	for _, s := range []string{q.method, q.uri} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.body)
	return d.Sum64()
}

// settleRequest asks a key's home to settle a refusal.
type settleRequest struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	CloseMS int64  `json:"close_ms"`
}

// settleReply is the home's word on the key.
type settleReply struct {
	Outcome wire.Outcome `json:"outcome"`
	Reason  wire.Reason  `json:"reason"`
	AfterMS int64        `json:"after_ms,omitempty"`
}

// errHomeUnavailable reports that a key's home can't be asked.
var errHomeUnavailable = errors.New("the home of the key can't be asked")

// settleKey closes a key that an entry is about to refuse, or says what is known of it.
func (n *Node) settleKey(in settleRequest) settleReply {
	now := n.clock.Now()
	w := n.checkHomeKey(now, in.Key)
	if w.refused != nil || in.Service != n.cfg.Service {
		return settleReply{Outcome: wire.Unknown, Reason: wire.ReasonNotOwner}
	}
	var d onceonly.Decision
	n.home.with(func(h *onceonly.Home) {
		closeFor := time.Duration(in.CloseMS)*time.Millisecond + keyCloseMargin
		d = h.Memory.Settle(now, w.hash, w.provenNew, now.Add(closeFor))
	})
	if d.Action == onceonly.Replay {
		return settleReply{Outcome: wire.Ran}
	}
	return settleReply{Outcome: d.Outcome, Reason: d.Reason, AfterMS: d.After.Milliseconds()}
}
