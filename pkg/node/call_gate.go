package node

import (
	"context"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/admission"
	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// lockedGate guards the local backend server's Gate with a mutex.
type lockedGate struct {
	mu   sync.Mutex
	gate *admission.Gate
}

// newLockedGate returns a lockedGate that owns g.
func newLockedGate(g *admission.Gate) *lockedGate { return &lockedGate{gate: g} }

// enter waits until the call may start and returns ReasonNone, or else the reason for its rejection.
func (k *lockedGate) enter(ctx context.Context, now time.Time, p priority.Priority, deadline time.Time) wire.Reason {
	verdicts := make(chan admission.Decision, 1)
	t := &admission.Ticket{Priority: p, Deadline: deadline, Notify: func(v admission.Decision) { verdicts <- v }}
	k.mu.Lock()
	v := k.gate.Arrive(now, t)
	k.mu.Unlock()
	if v.Start {
		return wire.ReasonNone
	}
	if !v.Queued {
		return v.Reason
	}
	select {
	case v = <-verdicts:
		return v.Reason
	case <-ctx.Done():
		return k.cancel(t, verdicts)
	}
}

// cancel removes the ticket of a call whose context has ended. A ticket that was admitted meanwhile stays admitted, and
// the call then ends by its context.
func (k *lockedGate) cancel(t *admission.Ticket, verdicts <-chan admission.Decision) wire.Reason {
	k.mu.Lock()
	queued := k.gate.Cancel(t)
	k.mu.Unlock()
	if queued {
		return wire.ReasonDeadline
	}
	return (<-verdicts).Reason
}

// done frees the call's slot, with its slot hold time and the part of it spent in the backend server itself. If counted
// is false, the gate doesn't learn from the times.
func (k *lockedGate) done(now time.Time, held, own time.Duration, counted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.Done(now, held, own, counted)
}

// tick updates the limit and the level, and rejects queued calls that have waited too long.
func (k *lockedGate) tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.Tick(now)
}

// read returns the gate's load, limit and level.
func (k *lockedGate) read(now time.Time) admission.Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.Snapshot(now)
}

// setSlots sets the number of the backend server's slots.
func (k *lockedGate) setSlots(slots int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.SetSlots(slots)
}
