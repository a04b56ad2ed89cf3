package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/loads"
)

// The time for which a report counts without a newer one: a node that is cut off is forgotten by then.
const (
	reportLifeLeast = 3 * time.Second
	// reportLifeTalks is the same in exchanges, which are rarer in a larger mesh: enough for news to reach all.
	reportLifeTalks = 6
	// zoneLifeLeast and zoneLifeTalks are the same for the sum of another zone, of which something is heard
	// several times a second: once it is cut off its servers must not be planned with.
	zoneLifeLeast = 2500 * time.Millisecond
	zoneLifeTalks = 7
	// lapsedTime is how long it is remembered which report of a node was the last that counted: others drop it a little
	// later, and pass it on until then. Taken for news each time, it would go round between them for ever: of 32 nodes, the
	// 26 that were left counted the reports of six that were dead five seconds later.
	lapsedTime = time.Minute
)

// takeReports takes over reports of other nodes that are newer than those held.
func (n *Node) takeReports(now time.Time, from string, reports []packedReport) {
	for _, p := range reports {
		r := &heldReport{Report: loads.Report{Host: p.Host, Epoch: p.Epoch, Seq: p.Seq}}
		if r.Host == n.ip || !n.isNews(&r.Report) {
			continue
		}
		if err := unpack(p.Body, &r.Report); err != nil {
			n.controlLog.Warn("report can't be read", "peer", from, "host", p.Host, "err", err)
			continue
		}
		r.Host, r.Epoch, r.Seq, r.heard, r.packed = p.Host, p.Epoch, p.Seq, now, p.Body
		n.control.reports[r.Host] = r
	}
}

// isNews tells whether a report is newer than the one of its node that is held, or was.
func (n *Node) isNews(r *loads.Report) bool {
	if held := n.control.reports[r.Host]; held != nil {
		return r.Supersedes(&held.Report)
	}
	lapsed := n.control.expiredReports[r.Host]
	return lapsed == nil || r.Supersedes(&lapsed.Report)
}

// ownReports returns the reports of this zone's nodes.
func (n *Node) ownReports() []*loads.Report {
	all := make([]*loads.Report, 0, len(n.control.reports)+len(n.control.zoneLoads))
	for _, r := range n.control.reports {
		all = append(all, &r.Report)
	}
	return all
}

// forgetLoads drops what is too old to count.
func (n *Node) forgetLoads(now time.Time) {
	life := max(reportLifeLeast, reportLifeTalks*n.calmTalkPeriod())
	for host, r := range n.control.reports {
		if now.Sub(r.heard) > life {
			delete(n.control.reports, host)
			n.control.expiredReports[host] = &heldReport{Report: loads.Report{Host: host, Epoch: r.Epoch, Seq: r.Seq}, heard: r.heard}
		}
	}
	for host, r := range n.control.expiredReports {
		if now.Sub(r.heard) > lapsedTime {
			delete(n.control.expiredReports, host)
		}
	}
	zoneLife := max(zoneLifeLeast, zoneLifeTalks*n.calmTalkPeriod())
	for _, z := range n.control.zoneLoads {
		if now.Sub(z.made) > zoneLife {
			z.services = nil // the zone stays known as one that was heard
		}
	}
}

// loads returns the reports of this zone's nodes and the sums of the others, one for each service and zone.
func (n *Node) loads() []*loads.Report {
	all := n.ownReports()
	for _, z := range n.control.zoneLoads {
		for i := range z.services {
			all = append(all, &z.services[i].Load)
		}
	}
	return all
}
