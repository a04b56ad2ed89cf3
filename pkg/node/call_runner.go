package node

import (
	"context"
	"io"
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// runLocal admits a call through the gate and sends it to the local backend server; it returns the server's answer or the
// reason for a rejection.
func (n *Node) runLocal(ctx context.Context, in *inbound, q *request) *answer {
	if n.cfg.Backend.Address == "" || in.call.Service != n.cfg.Service {
		return notRunAnswer(wire.ReasonNoServer, 0)
	}
	if n.leaving.Load() {
		return notRunAnswer(wire.ReasonLeaving, 0)
	}
	if !n.knowsServers() {
		return notRunAnswer(wire.ReasonStarting, 0)
	}
	arrived := n.clock.Now()
	route := "run/" + in.call.Class
	if floor, late := n.latencyFloors.tooLate(arrived, route, in.deadline.Sub(arrived)); late {
		n.metrics.Inc("refused_deadline")
		n.log.call.Info("too little time is left for a run", "request", in.call.RootID, "route", route, "left", in.deadline.Sub(arrived), "floor", floor)
		return notRunAnswer(wire.ReasonDeadline, 0)
	}
	reason := n.gate.enter(ctx, arrived, in.call.Priority.AtDepth(in.call.Depth), in.deadline)
	if reason != wire.ReasonNone {
		n.countRejection(reason)
		return notRunAnswer(reason, 0)
	}
	started := n.clock.Now()
	n.metrics.Observe("queue_time", started.Sub(arrived).Microseconds())
	if ctx.Err() != nil {
		n.gate.done(started, 0, 0, false)
		return notRunAnswer(wire.ReasonDeadline, 0)
	}
	a := n.callBackend(ctx, in, q)
	if a.cause != nil {
		n.log.call.Info("backend server gave no answer", "request", in.call.RootID, "outcome", a.meta.Outcome, "reason", a.meta.Reason,
			"held", n.clock.Now().Sub(started), "err", a.cause)
	}
	if a.rest != nil {
		a.rest = &slotReader{ReadCloser: a.rest, releaseSlot: func() { n.releaseSlot(in, started, false) }}
	} else {
		n.releaseSlot(in, started, a.meta.Outcome == wire.Ran)
	}
	return n.classifyAnswer(in, a, route, started)
}

// releaseSlot frees the call's slot and tells the gate its slot hold time, and the part of it that was spent in the
// backend server itself rather than in outbound calls.
func (n *Node) releaseSlot(in *inbound, started time.Time, counted bool) {
	now := n.clock.Now()
	held := now.Sub(started)
	n.gate.done(now, held, max(held-in.stats(now).waited, 0), counted)
}

// classifyAnswer sets the final outcome of a run. It counts a server's own refusal as not run only if the server made no
// outbound calls for the call, since otherwise part of the work may be done.
func (n *Node) classifyAnswer(in *inbound, a *answer, route string, started time.Time) *answer {
	now := n.clock.Now()
	r := in.stats(now)
	a.meta.LevelBelow = max(a.meta.LevelBelow, r.level)
	a.meta.OnceOnly = a.meta.OnceOnly || r.onceBelow
	if a.meta.Outcome != wire.Ran {
		if a.meta.Outcome == wire.NotRun {
			n.metrics.Inc("refused_server")
		}
		return a
	}
	if isServerRefusal(a) && r.outbound == 0 {
		n.metrics.Inc("refused_server")
		a.discardRest()
		return notRunAnswer(wire.ReasonServerRefused, 0)
	}
	if a.status < 500 {
		n.latencyFloors.observe(now, route, now.Sub(started))
	}
	return a
}

// countRejection counts a rejection by the gate under its reason.
func (n *Node) countRejection(reason wire.Reason) {
	switch reason {
	case wire.ReasonBelowLevel:
		n.metrics.Inc("refused_level")
	case wire.ReasonDeadline:
		n.metrics.Inc("refused_deadline")
	default:
		n.metrics.Inc("refused_queue")
	}
}

// slotReader frees the backend server's slot when a streamed answer ends.
type slotReader struct {
	io.ReadCloser
	releaseSlot func()
	closed      bool
}

// Close closes the stream and frees the slot once.
func (r *slotReader) Close() error {
	if !r.closed {
		r.closed = true
		r.releaseSlot()
	}
	return r.ReadCloser.Close()
}

// addNodeState adds this node's load, level, leaving state and configuration version, and the retry tokens to return, to
// an answer.
func (n *Node) addNodeState(a *answer, tokens int) {
	r := n.gate.read(n.clock.Now())
	a.meta.OwnLevel = r.Level
	a.meta.CallsAtServer = r.Running + r.Queued
	a.meta.Limit = r.Limit
	a.meta.ReturnedTokens = tokens
	a.meta.Leaving = n.leaving.Load()
	a.meta.ConfigVersion = n.snapshot.Load().version()
}
