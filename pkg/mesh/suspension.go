package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/follow"
	"github.com/rockspoke/rockspoke/pkg/httpconn"
)

// deadConnDetectTime is the shortest suspension after which the other ends have given up this VM's connections: like this node, they probe
// after keepAliveIdle and every keepAliveInterval (network.go).
const deadConnDetectTime = keepAliveIdle + keepAliveCount*keepAliveInterval

// handleSuspension applies a suspension of this VM for d, which the clock counts from now on, so deadlines that passed meanwhile expire. Timers
// stood still with the steady clock, and the other ends of idle connections may have closed them without a packet that could be received.
func (n *Node) handleSuspension(d time.Duration) {
	now := n.clock.Now()
	n.followTracker.with(func(w *follow.Tracker) { w.NoteRunning(now) })
	expired := n.timeLimits.CancelExpired(now)
	if d >= deadConnDetectTime {
		n.forEachPool((*httpconn.Pool).CloseIdle)
	}
	n.metrics.count("suspensions_total")
	n.controlLog.Warn("this VM was suspended", "for", d, "requests_lapsed", expired)
}
