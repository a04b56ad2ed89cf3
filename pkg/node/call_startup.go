package node

import (
	"context"
	"time"
)

const (
	// startupWait is the longest time for which a call of the local backend server, or of a caller at an entry, waits until a node that has
	// just started knows the servers. There is no other way for such a call.
	startupWait = 800 * time.Millisecond
	// startupPollInterval is the time between checks.
	startupPollInterval = 5 * time.Millisecond
)

// knowsServers tells whether this node has a configuration and a list of VMs, without which every call that it makes fails.
func (n *Node) knowsServers() bool {
	snap := n.snapshot.Load()
	return snap.plan != nil && len(snap.vms) > 0
}

// awaitServers waits until this node knows the servers, at most for startupWait.
func (n *Node) awaitServers(ctx context.Context) {
	end := n.clock.Now().Add(startupWait)
	for !n.knowsServers() && n.sleep(ctx, startupPollInterval, end) {
	}
}
