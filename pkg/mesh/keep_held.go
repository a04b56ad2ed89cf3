package mesh

import (
	"context"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/poison"
)

// keepHeldPeriod is the time between looks at whether what is held back has changed since it was stored. Other nodes know it within some hundredths of
// a second; the store is for the loss of all nodes, after which three more servers would end before the same request is held back again.
const keepHeldPeriod = time.Second

// HeldBack is what is held back of the requests for one service.
type HeldBack struct {
	Service string        `json:"service"`
	Cases   []poison.Case `json:"cases"`
}

// keepHeld stores what is held back of the requests for the own service, from one of its nodes.
func (n *Node) keepHeld(ctx context.Context) {
	var stored uint64
	var era int64
	for clock.Sleep(ctx, jitter(keepHeldPeriod)) {
		if n.era.changed(&era) {
			stored = 0 // what was written may be lost
		}
		held := n.heldOf(n.cfg.Service)
		digest := digestOf(held)
		if digest == stored || !n.isServiceWriter() {
			continue
		}
		err := n.callStore(ctx, n.storeWatch.newAttempt(), writeHeldCall, storeCallTimeout, func(ctx context.Context) error {
			return n.store.WriteHeld(ctx, HeldBack{Service: n.cfg.Service, Cases: held})
		})
		if err != nil {
			n.controlLog.Warn("what is held back isn't stored", "err", err)
			continue
		}
		stored = digest
		n.controlLog.Info("what is held back is stored", "requests", len(held))
	}
}

// heldOf returns the cases of a service that are held back.
func (n *Node) heldOf(service string) []poison.Case {
	var held []poison.Case
	for _, c := range n.poison.QuarantinedCases(n.clock.Now()) {
		if c.Service == service {
			held = append(held, c)
		}
	}
	return held
}

// recallHeld takes what the store kept: how long ago the node that wrote it knows, not this one, so the time starts as it was written.
func (n *Node) recallHeld(all []HeldBack) {
	now := n.clock.Now()
	for _, h := range all {
		n.takeSuspects(now, nil, h.Cases)
	}
}
