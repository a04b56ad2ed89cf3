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

// The pauses between attempts to find the home of a key whose range is on the move.
const (
	redirectPauseMin = 20 * time.Millisecond
	redirectPauseMax = 200 * time.Millisecond
)

// sendOnceOnly leads a call to its key's home. A lost answer is asked for again under the same key, which
// the home joins or answers from its record; nothing else is repeated.
func (n *Node) sendOnceOnly(ctx context.Context, s *outgoingCall) *answer {
	pause := redirectPauseMin
	for {
		srv, ok := n.homeServer(s.call.Service, s.call.Key)
		if !ok {
			return n.noHomeAnswer(s)
		}
		a := n.attemptWithLoan(ctx, s, srv)
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
			// The attempt never arrived, and no other can: take another home.
			if !n.takeRetryTokens(s, srv) || !n.renewToken(s) {
				return a
			}
		default:
			return n.outcomeForKey(s, a)
		}
	}
}

// answerLost tells whether the home's own word never came, so that asking it again may bring it.
func answerLost(a *answer) bool { return !a.fromDaemon && a.meta.Reason == wire.ReasonLost }

// outcomeForKey turns a refusal that speaks of one attempt only into "unknown" where other attempts under
// the key may exist; a home's own refusal speaks of the key.
func (n *Node) outcomeForKey(s *outgoingCall, a *answer) *answer {
	if a.meta.Outcome != wire.NotRun || !s.otherAttempts {
		return a
	}
	if !a.fromDaemon || a.meta.Reason == wire.ReasonNotOwner || a.meta.Reason == wire.ReasonBadRequest || a.meta.Reason == wire.ReasonMemory {
		a.meta.Outcome = wire.Unknown
	}
	return a
}

func (n *Node) noHomeAnswer(s *outgoingCall) *answer {
	a := notRunAnswer(wire.ReasonNoServer, 0)
	return n.outcomeForKey(s, a)
}

// sleep waits for d, and reports false if the context or the deadline ends first.
func (n *Node) sleep(ctx context.Context, d time.Duration, deadline time.Time) bool {
	if n.clock.Now().Add(d).After(deadline) {
		return false
	}
	return clock.Sleep(ctx, d)
}

// homeServer returns the server whose node is the home of the key.
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

// newToken issues a token at a server that would take the call; it reports false if there is none.
func (n *Node) newToken(t *config.Treatment, p priority.Priority) (string, bool) {
	now := n.clock.Now()
	snap := n.snapshot.Load()
	var tried []*routing.Server
	for range 3 {
		srv, found := n.pickServer(now, t, p, tried)
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

// renewToken gives the call another token, for use where the last one certainly started nothing.
func (n *Node) renewToken(s *outgoingCall) bool {
	key, ok := n.newToken(s.treatment, s.call.Priority)
	if ok {
		s.call.Key = key
	}
	return ok
}

// settleTimeout is the longest time that an entry waits for a home to settle a refusal.
const settleTimeout = 200 * time.Millisecond

// settleAtHome asks the key's home what is known of it; an unknown key is closed.
func (n *Node) settleAtHome(ctx context.Context, s *outgoingCall) (settleReply, error) {
	srv, ok := n.homeServer(s.call.Service, s.call.Key)
	if !ok {
		return settleReply{}, errHomeUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	in := settleRequest{Service: s.call.Service, Key: s.call.Key, CloseMS: s.treatment.Timeout.Milliseconds()}
	var out settleReply
	if err := n.peers.control(ctx, srv.VM, srv.Peer, pathSettle, in, &out); err != nil {
		return settleReply{}, err
	}
	return out, nil
}

// marshal turns a control message into JSON.
func marshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("node: " + err.Error()) // control messages are plain structs
	}
	return b
}
