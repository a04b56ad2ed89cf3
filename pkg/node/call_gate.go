package node

import (
	"context"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/admission"
	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// lockedGate lets goroutines share the Gate before this VM's backend server.
type lockedGate struct {
	mu   sync.Mutex
	gate *admission.Gate
}

func newLockedGate(g *admission.Gate) *lockedGate { return &lockedGate{gate: g} }

// enter waits until the call may start; it returns the reason if it may not.
func (k *lockedGate) enter(ctx context.Context, now time.Time, p priority.Priority, deadline time.Time) wire.Reason {
	verdicts := make(chan admission.Verdict, 1)
	t := &admission.Ticket{Priority: p, Deadline: deadline, Notify: func(v admission.Verdict) { verdicts <- v }}
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

// cancel takes a ticket back whose caller has left; one that just started is let go on, and the call's context ends it.
func (k *lockedGate) cancel(t *admission.Ticket, verdicts <-chan admission.Verdict) wire.Reason {
	k.mu.Lock()
	queued := k.gate.Cancel(t)
	k.mu.Unlock()
	if queued {
		return wire.ReasonDeadline
	}
	return (<-verdicts).Reason
}

func (k *lockedGate) done(now time.Time, held, own time.Duration, counted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.Done(now, held, own, counted)
}

func (k *lockedGate) tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.Tick(now)
}

func (k *lockedGate) read(now time.Time) admission.Reading {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.Read(now)
}

// setSlots follows a change of the service's slots.
func (k *lockedGate) setSlots(slots int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.SetSlots(slots)
}
