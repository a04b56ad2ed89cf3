package node

import (
	"context"
	"io"
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// runLocal takes a call through the gate to this VM's backend server.
func (n *Node) runLocal(ctx context.Context, in *inbound, q *request) *answer {
	if n.cfg.Backend.Address == "" || in.call.Service != n.cfg.Service {
		return refusal(wire.ReasonNoServer, 0)
	}
	if n.leaving.Load() {
		return refusal(wire.ReasonLeaving, 0)
	}
	arrived := n.clock.Now()
	route := "run/" + in.call.Class
	if in.deadline.Sub(arrived) < n.needs.least(route) {
		n.metrics.Inc("refused_deadline")
		return refusal(wire.ReasonDeadline, 0)
	}
	reason := n.gate.enter(ctx, arrived, in.call.Priority.AtDepth(in.call.Depth), in.deadline)
	if reason != wire.ReasonNone {
		n.countRefusal(reason)
		return refusal(reason, 0)
	}
	started := n.clock.Now()
	n.metrics.Observe("queue_time", started.Sub(arrived).Microseconds())
	if ctx.Err() != nil {
		n.gate.done(started, 0, 0, false)
		return refusal(wire.ReasonDeadline, 0)
	}
	a := n.toBackend(ctx, in, q)
	if a.rest != nil {
		a.rest = &slotReader{ReadCloser: a.rest, release: func() { n.release(in, started, false) }}
	} else {
		n.release(in, started, a.meta.Outcome == wire.Ran)
	}
	return n.judge(in, a, route, started)
}

// release gives the slot back with the time that the call spent in the backend server itself.
func (n *Node) release(in *inbound, started time.Time, counted bool) {
	now := n.clock.Now()
	held := now.Sub(started)
	n.gate.done(now, held, max(held-in.read(now).waited, 0), counted)
}

// judge settles the outcome: a server's own refusal is believed only where nothing was called under it.
func (n *Node) judge(in *inbound, a *answer, route string, started time.Time) *answer {
	now := n.clock.Now()
	r := in.read(now)
	a.meta.LevelBelow = max(a.meta.LevelBelow, r.level)
	a.meta.OnceOnly = a.meta.OnceOnly || r.onceBelow
	if a.meta.Outcome != wire.Ran {
		if a.meta.Outcome == wire.NotRun {
			n.metrics.Inc("refused_server")
		}
		return a
	}
	if refusedByServer(a) && r.outbound == 0 {
		n.metrics.Inc("refused_server")
		a.finish()
		return refusal(wire.ReasonServerRefused, 0)
	}
	if a.status < 500 {
		n.needs.observe(now, route, now.Sub(started))
	}
	return a
}

func (n *Node) countRefusal(reason wire.Reason) {
	switch reason {
	case wire.ReasonBelowLevel:
		n.metrics.Inc("refused_level")
	case wire.ReasonDeadline:
		n.metrics.Inc("refused_deadline")
	default:
		n.metrics.Inc("refused_queue")
	}
}

// slotReader gives the backend server's slot back when a streamed answer ends.
type slotReader struct {
	io.ReadCloser
	release func()
	closed  bool
}

// Close closes the stream and gives the slot back once.
func (r *slotReader) Close() error {
	if !r.closed {
		r.closed = true
		r.release()
	}
	return r.ReadCloser.Close()
}

// stamp adds what this node shows of itself to an answer on its way back.
func (n *Node) stamp(a *answer, tokens int) {
	r := n.gate.read(n.clock.Now())
	a.meta.OwnLevel = r.Level
	a.meta.CallsAtServer = r.Running + r.Queued
	a.meta.Limit = r.Limit
	a.meta.ReturnedTokens = tokens
	a.meta.Leaving = n.leaving.Load()
	a.meta.ConfigVersion = n.snapshot.Load().version()
}
