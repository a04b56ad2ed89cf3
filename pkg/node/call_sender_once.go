package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/routing"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// The shortest and the longest pause between attempts to reach the home of a key; the pause doubles each time.
const (
	redirectPauseMin = 20 * time.Millisecond
	redirectPauseMax = 200 * time.Millisecond
)

// sendOnceOnly sends a call to its key's home. If the answer is lost, it retries under the same key, and the home joins the
// run or replays its answer. Besides, it retries if the home moved, or if no home was reached and the key can change.
func (n *Node) sendOnceOnly(ctx context.Context, s *outgoingCall) *answer {
	pause := redirectPauseMin
	for {
		srv, ok := n.homeServer(s.call.Service, s.call.Key)
		if !ok {
			return n.noHomeAnswer(s)
		}
		a := n.attemptWithLoan(ctx, s, srv)
		if a.meta.Outcome != wire.Ran {
			n.log.once.Info("attempt at the home didn't run", "request", s.call.RootID, "home", srv.VM, "outcome", a.meta.Outcome,
				"reason", a.meta.Reason, "left", s.deadline.Sub(n.clock.Now()))
		}
		s.otherAttempts = s.otherAttempts || a.meta.Outcome == wire.Unknown
		switch {
		case ctx.Err() != nil || !n.clock.Now().Before(s.deadline):
			return n.outcomeForKey(s, a)
		case a.meta.Outcome == wire.NotRun && a.meta.Reason == wire.ReasonNotOwner:
			n.requestExchange(srv.VM)
			if !n.sleep(ctx, n.jitter(pause), s.deadline) {
				return n.outcomeForKey(s, a)
			}
			pause = min(2*pause, redirectPauseMax)
		case a.meta.Outcome == wire.Unknown && answerLost(a):
			if !n.takeRetryTokens(s, srv) || !n.sleep(ctx, n.jitter(pause), s.deadline) {
				return a
			}
			pause = min(2*pause, redirectPauseMax)
		case a.meta.Outcome == wire.NotRun && a.meta.Reason == wire.ReasonNoServer && !s.otherAttempts && onceonly.IsToken(s.call.Key):
			// This attempt never arrived, and no other exists: issue a token with another home.
			if !n.takeRetryTokens(s, srv) || !n.renewToken(s) {
				return a
			}
		default:
			return n.outcomeForKey(s, a)
		}
	}
}

// answerLost tells whether no answer of the home arrived, so that a retry may bring it.
func answerLost(a *answer) bool { return !a.fromDaemon && a.meta.Reason == wire.ReasonAnswerLost }

// outcomeForKey turns the outcome "not run" of one attempt into "unknown" if other attempts under the key may exist. A
// refusal by the home itself holds for the key and stays.
func (n *Node) outcomeForKey(s *outgoingCall, a *answer) *answer {
	if a.meta.Outcome != wire.NotRun || !s.otherAttempts {
		return a
	}
	if !a.fromDaemon || a.meta.Reason == wire.ReasonNotOwner || a.meta.Reason == wire.ReasonBadRequest || a.meta.Reason == wire.ReasonKeyMemoryFull {
		a.meta.Outcome = wire.Unknown
	}
	return a
}

// noHomeAnswer returns the answer for a call whose key's home isn't known or listed.
func (n *Node) noHomeAnswer(s *outgoingCall) *answer {
	a := notRunAnswer(wire.ReasonNoServer, 0)
	return n.outcomeForKey(s, a)
}

// sleep waits for d. It reports false if the context ends first, and at once if the deadline comes first.
func (n *Node) sleep(ctx context.Context, d time.Duration, deadline time.Time) bool {
	if n.clock.Now().Add(d).After(deadline) {
		return false
	}
	return clock.Sleep(ctx, d)
}

// homeServer returns the server whose node is the home of the key; it reports false if that isn't known or listed.
func (n *Node) homeServer(service, key string) (*routing.Server, bool) {
	snap := n.snapshot.Load()
	vm := ""
	if onceonly.IsToken(key) {
		t, err := onceonly.ParseToken(n.keys.Current().Secret, key)
		if err != nil || t.Service != service {
			return nil, false
		}
		vm = t.VM
	} else {
		row, ok := snap.rows[service]
		if !ok {
			return nil, false
		}
		vm = row.Owners[onceonly.HashKey(service, key).Range()].VM
	}
	v, ok := snap.vms[vm]
	if !ok {
		return nil, false
	}
	return n.pool.Get(v), true
}

// newToken issues a token whose home is a server that would admit the call; it reports false if there is none.
func (n *Node) newToken(t *config.Treatment, p priority.Priority) (string, bool) {
	now := n.clock.Now()
	snap := n.snapshot.Load()
	var tried []*routing.Server
	for range 3 {
		srv, found := n.pickServer(n.snapshot.Load(), now, t, p, tried)
		if found != routing.Picked {
			return "", false
		}
		info, ok := snap.nodes[srv.VM]
		if !ok {
			tried = append(tried, srv)
			continue
		}
		tok := onceonly.Token{
			Service: t.Service, VM: srv.VM, Incarnation: info.Incarnation,
			IssuedMS: now.UnixMilli(), Nonce: uuid.NewString(),
		}
		return tok.Issue(n.keys.Current().Secret), true
	}
	return "", false
}

// newTokenFor is newToken for a call. If there is none by a treatment of a plan that is no longer in force, it issues one by the newest.
func (n *Node) newTokenFor(s *outgoingCall) (string, bool) {
	key, ok := n.newToken(s.treatment, s.call.Priority)
	if !ok && s.resolveBy(n.snapshot.Load().plan) {
		return n.newToken(s.treatment, s.call.Priority)
	}
	return key, ok
}

// renewToken replaces the call's token, to be used only if certainly nothing ran under the last one. It reports false if there is none,
// or if a repeat of the call uses the last one.
func (n *Node) renewToken(s *outgoingCall) bool {
	key, ok := n.newTokenFor(s)
	if !ok || !s.token.replace(key) {
		return false
	}
	s.call.Key = key
	return true
}

// settleTimeout is the longest time that an entry waits for a home to settle a refusal.
const settleTimeout = 200 * time.Millisecond

// settleAtHome asks the key's home what it knows of the key; the home closes an unknown key. The error is
// errHomeUnavailable or that of the message.
func (n *Node) settleAtHome(ctx context.Context, s *outgoingCall) (settleReply, error) {
	srv, ok := n.homeServer(s.call.Service, s.call.Key)
	if !ok {
		return settleReply{}, errHomeUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var out settleReply
	if err := n.peers.control(ctx, srv.VM, srv.Peer, pathSettle, n.newSettleRequest(s), &out); err != nil {
		return settleReply{}, err
	}
	return out, nil
}

// newSettleRequest returns the message that settles the call's key. An unknown key is closed for as long as another attempt may take to arrive:
// that of a root request at most its class's timeout, that of a call made by another the time that its caller has left.
func (n *Node) newSettleRequest(s *outgoingCall) settleRequest {
	closeFor := max(s.treatment.Timeout, s.deadline.Sub(n.clock.Now()))
	return settleRequest{Service: s.call.Service, Key: s.call.Key, CloseMS: closeFor.Milliseconds()}
}

// marshal encodes a control message as JSON.
func marshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("node: " + err.Error()) // control messages are plain structs
	}
	return b
}
