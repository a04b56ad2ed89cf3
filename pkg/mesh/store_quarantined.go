package mesh

import (
	"context"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/poison"
)

// storeQuarantinePeriod is the mean time between checks whether the quarantined requests have changed since they were
// stored. Other nodes know them within some hundredths of a second. The store is for the loss of all nodes, after which
// three more servers would crash before the same request is quarantined again.
const storeQuarantinePeriod = time.Second

// Quarantined holds the cases of quarantined requests for one service.
type Quarantined struct {
	Service string        `json:"service"`
	Cases   []poison.Case `json:"cases"`
}

// storeQuarantined stores the quarantined requests of this node's service whenever they change; one node of the service
// does it.
func (n *Node) storeQuarantined(ctx context.Context) {
	var stored uint64
	var epoch int64
	for clock.Sleep(ctx, n.jitter(storeQuarantinePeriod)) {
		if n.storeEpoch.changed(&epoch) {
			stored = 0 // the store may have lost what was written
		}
		cases := n.quarantinedOf(n.cfg.Service)
		digest := digestOfCases(cases)
		if digest == stored || !n.isServiceWriter() {
			continue
		}
		err := n.callStore(ctx, n.storeAvailability.newAttempt(), writeQuarantinedCall, storeCallTimeout, func(ctx context.Context) error {
			return n.store.WriteQuarantined(ctx, Quarantined{Service: n.cfg.Service, Cases: cases})
		})
		if err != nil {
			n.controlLog.Warn("storing quarantined requests failed", "err", err)
			continue
		}
		stored = digest
		n.controlLog.Info("quarantined requests stored", "requests", len(cases))
	}
}

// quarantinedOf returns the quarantined cases of a service.
func (n *Node) quarantinedOf(service string) []poison.Case {
	var cases []poison.Case
	for _, c := range n.poison.QuarantinedCases(n.clock.Now()) {
		if c.Service == service {
			cases = append(cases, c)
		}
	}
	return cases
}

// restoreQuarantined applies the stored quarantined requests. Only the node that wrote them knows how long ago that
// was, so their ages start as written.
func (n *Node) restoreQuarantined(all []Quarantined) {
	now := n.clock.Now()
	for _, h := range all {
		n.applySuspectUpdates(now, nil, h.Cases)
	}
}
