package node

import (
	"context"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/admission"
	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// gatekeeper lets goroutines share the Gate before this VM's backend server.
type gatekeeper struct {
	mu   sync.Mutex
	gate *admission.Gate
}

func newGatekeeper(g *admission.Gate) *gatekeeper { return &gatekeeper{gate: g} }

// enter waits until the call may start; it returns the reason if it may not.
func (k *gatekeeper) enter(ctx context.Context, now time.Time, p priority.Priority, deadline time.Time) wire.Reason {
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
		return k.withdraw(t, verdicts)
	}
}

// withdraw takes a ticket back whose caller has left; one that just started is let go on, and the call's context ends it.
func (k *gatekeeper) withdraw(t *admission.Ticket, verdicts <-chan admission.Decision) wire.Reason {
	k.mu.Lock()
	queued := k.gate.Cancel(t)
	k.mu.Unlock()
	if queued {
		return wire.ReasonDeadline
	}
	return (<-verdicts).Reason
}

func (k *gatekeeper) done(now time.Time, held, own time.Duration, counted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.Done(now, held, own, counted)
}

func (k *gatekeeper) tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.Tick(now)
}

func (k *gatekeeper) read(now time.Time) admission.Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.Snapshot(now)
}

// setSlots follows a change of the service's slots.
func (k *gatekeeper) setSlots(slots int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.SetSlots(slots)
}
