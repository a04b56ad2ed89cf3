package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/loads"
)

// The times after which load reports and sums expire.
const (
	// minReportTTL is the least time after which a report expires without a newer one, as that of a node that was cut off.
	minReportTTL = 3 * time.Second
	// reportTTLPeriods is the same in exchange periods, which are longer in a larger mesh: enough for a report to reach all
	// nodes.
	reportTTLPeriods = 6
	// minZoneLoadTTL and zoneLoadTTLPeriods are the same for the sum of another zone. Sums arrive several times a second,
	// and once a zone is cut off, the plan must not count its servers.
	minZoneLoadTTL     = 2500 * time.Millisecond
	zoneLoadTTLPeriods = 7
	// expiredRetention is how long the epoch and sequence number of an expired report are retained. Other nodes expire the
	// report a little later and send it until then. If it were accepted as new each time, it would circulate forever: in a
	// mesh of 32 nodes, the 26 remaining ones still counted the reports of six nodes that had been dead for five seconds.
	expiredRetention = time.Minute
)

// mergeReports stores those load reports of other nodes that are newer than the known ones.
func (n *Node) mergeReports(now time.Time, from string, reports []packedReport) {
	for _, p := range reports {
		r := &nodeReport{Report: loads.Report{Host: p.Host, Epoch: p.Epoch, Seq: p.Seq}}
		if r.Host == n.ip || !n.isNewerReport(&r.Report) {
			continue
		}
		if err := unpack(p.Body, &r.Report); err != nil {
			n.controlLog.Warn("failed to decode load report", "peer", from, "host", p.Host, "err", err)
			continue
		}
		r.Host, r.Epoch, r.Seq, r.receivedAt, r.packed = p.Host, p.Epoch, p.Seq, now, p.Body
		n.control.reports[r.Host] = r
	}
}

// isNewerReport reports whether a report is newer than the last one known from its node, expired ones included.
func (n *Node) isNewerReport(r *loads.Report) bool {
	if known := n.control.reports[r.Host]; known != nil {
		return r.Supersedes(&known.Report)
	}
	expired := n.control.expiredReports[r.Host]
	return expired == nil || r.Supersedes(&expired.Report)
}

// localZoneReports returns the unexpired reports of this zone's nodes.
func (n *Node) localZoneReports() []*loads.Report {
	all := make([]*loads.Report, 0, len(n.control.reports))
	for _, r := range n.control.reports {
		all = append(all, &r.Report)
	}
	return all
}

// expireLoads drops reports and sums that are older than their TTL.
func (n *Node) expireLoads(now time.Time) {
	ttl := max(minReportTTL, reportTTLPeriods*n.calmExchangePeriod())
	for host, r := range n.control.reports {
		if now.Sub(r.receivedAt) > ttl {
			delete(n.control.reports, host)
			n.control.expiredReports[host] = &nodeReport{Report: loads.Report{Host: host, Epoch: r.Epoch, Seq: r.Seq}, receivedAt: r.receivedAt}
		}
	}
	for host, r := range n.control.expiredReports {
		if now.Sub(r.receivedAt) > expiredRetention {
			delete(n.control.expiredReports, host)
		}
	}
	zoneTTL := max(minZoneLoadTTL, zoneLoadTTLPeriods*n.calmExchangePeriod())
	for _, z := range n.control.zoneLoads {
		if now.Sub(z.computedAt) > zoneTTL {
			z.services = nil // the entry stays, so that the zone isn't taken for one that never reported
		}
	}
}

// currentSums returns by zone the sums of the current reports, one for each service and zone. What is computed from them is
// the same as from all reports, and needn't go through each report several times.
func (n *Node) currentSums() map[string][]*loads.Report {
	sums := map[string][]*loads.Report{n.cfg.Zone: loads.Loads(loads.SumByService(n.localZoneReports()))}
	for zone, z := range n.control.zoneLoads {
		sums[zone] = loads.Loads(z.services)
	}
	return sums
}
