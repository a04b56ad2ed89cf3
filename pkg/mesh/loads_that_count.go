package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/loads"
)

// The time for which a report counts without a newer one: a node that is cut off is forgotten by then.
const (
	minReportTTL = 3 * time.Second
	// reportTTLPeriods is the same in exchanges, which are rarer in a larger mesh: enough for news to reach all.
	reportTTLPeriods = 6
	// minZoneLoadTTL and zoneLifeTalks are the same for the sum of another zone, of which something is heard
	// several times a second: once it is cut off its servers must not be planned with.
	minZoneLoadTTL     = 2500 * time.Millisecond
	zoneLoadTTLPeriods = 7
	// expiredRetention is how long it is remembered which report of a node was the last that counted: others drop it a little
	// later, and pass it on until then. Taken for news each time, it would go round between them for ever: of 32 nodes, the
	// 26 that were left counted the reports of six that were dead five seconds later.
	expiredRetention = time.Minute
)

// mergeReports takes over reports of other nodes that are newer than those held.
func (n *Node) mergeReports(now time.Time, from string, reports []packedReport) {
	for _, p := range reports {
		r := &nodeReport{Report: loads.Report{Host: p.Host, Epoch: p.Epoch, Seq: p.Seq}}
		if r.Host == n.ip || !n.isNewerReport(&r.Report) {
			continue
		}
		if err := unpack(p.Body, &r.Report); err != nil {
			n.controlLog.Warn("report can't be read", "peer", from, "host", p.Host, "err", err)
			continue
		}
		r.Host, r.Epoch, r.Seq, r.receivedAt, r.packed = p.Host, p.Epoch, p.Seq, now, p.Body
		n.control.reports[r.Host] = r
	}
}

// isNewerReport tells whether a report is newer than the one of its node that is held, or was.
func (n *Node) isNewerReport(r *loads.Report) bool {
	if held := n.control.reports[r.Host]; held != nil {
		return r.Newer(&held.Report)
	}
	lapsed := n.control.lapsed[r.Host]
	return lapsed == nil || r.Newer(&lapsed.Report)
}

// ownZoneReports returns the reports of this zone's nodes.
func (n *Node) ownZoneReports() []*loads.Report {
	all := make([]*loads.Report, 0, len(n.control.reports)+len(n.control.zones))
	for _, r := range n.control.reports {
		all = append(all, &r.Report)
	}
	return all
}

// expireLoads drops what is too old to count.
func (n *Node) expireLoads(now time.Time) {
	life := max(minReportTTL, reportTTLPeriods*n.calmExchangePeriod())
	for host, r := range n.control.reports {
		if now.Sub(r.receivedAt) > life {
			delete(n.control.reports, host)
			n.control.lapsed[host] = &nodeReport{Report: loads.Report{Host: host, Epoch: r.Epoch, Seq: r.Seq}, receivedAt: r.receivedAt}
		}
	}
	for host, r := range n.control.lapsed {
		if now.Sub(r.receivedAt) > expiredRetention {
			delete(n.control.lapsed, host)
		}
	}
	zoneLife := max(minZoneLoadTTL, zoneLoadTTLPeriods*n.calmExchangePeriod())
	for _, z := range n.control.zones {
		if now.Sub(z.computedAt) > zoneLife {
			z.services = nil // the zone stays known as one that was heard
		}
	}
}

// currentReports returns the reports of this zone's nodes and the sums of the others, one for each service and zone.
func (n *Node) currentReports() []*loads.Report {
	all := n.ownZoneReports()
	for _, z := range n.control.zones {
		for i := range z.services {
			all = append(all, &z.services[i].Load)
		}
	}
	return all
}
