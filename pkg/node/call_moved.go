package node

import (
	"context"

	"github.com/rockspoke/rockspoke/pkg/routing"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// runTargeted runs a peer's call here. If the configuration in force is newer than the one by which this server was chosen, and targets other
// servers only, it sends the call on to one of these: so no work begins at a server that an edit has left. Each step of a call that is sent on
// needs a newer configuration, so there are no loops.
func (n *Node) runTargeted(ctx context.Context, in *inbound, q *request) *answer {
	snap := n.snapshot.Load()
	if s, ok := n.newTarget(snap, in.call, q); ok {
		n.metrics.Inc("calls_sent_on")
		call := in.call
		call.ConfigVersion = snap.version()
		return n.forward(ctx, in, q, call, s)
	}
	return n.runLocal(ctx, in, q)
}

// newTarget returns a server for a call that was sent here by a configuration that is no longer in force; it reports false if the call
// belongs here all the same, or if no other server is available.
func (n *Node) newTarget(snap *snapshot, call wire.Call, q *request) (*routing.Server, bool) {
	if call.ConfigVersion == 0 || call.ConfigVersion >= snap.version() || call.Service != n.cfg.Service {
		return nil, false
	}
	t := snap.plan.CallTreatment(n.cfg.Service, q.match())
	if t == nil || snap.localTargets[t] {
		return nil, false
	}
	s, outcome := n.pickServer(snap, n.clock.Now(), t, call.Priority.AtDepth(call.Depth), n.localServers())
	return s, outcome == routing.Picked
}
