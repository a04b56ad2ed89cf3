package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/follow"
	"github.com/rockspoke/rockspoke/pkg/httpconn"
)

// deadConnections is how long a suspension has to be for the other sides to have given up its connections: they look for a dead one after probeAfter and
// every probeEvery (network.go), as this node does.
const deadConnections = probeAfter + probeCount*probeEvery

// resumed takes note that this VM was suspended for a time, which the clock counts from now on: what has lapsed meanwhile has lapsed. Timers stood still
// with the steady clock, and the other sides of the connections that are kept may be gone without a word that could be heard.
func (n *Node) resumed(d time.Duration) {
	now := n.clock.Now()
	n.watch.with(func(w *follow.Tracker) { w.NoteRunning(now) })
	ended := n.limits.Lapse(now)
	if d >= deadConnections {
		n.eachPool((*httpconn.Pool).DropIdle)
	}
	n.metrics.count("suspensions_total")
	n.controlLog.Warn("this VM was suspended", "for", d, "requests_lapsed", ended)
}
