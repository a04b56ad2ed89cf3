package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against the report of a dead node circulating forever: a node that had expired it accepted it as new from one that
// hadn't yet. The report still counted in the plan, and the dead node was taken for alive.
func TestAnExpiredReportIsNotAcceptedAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	n := &Node{ip: "n"}
	n.control.reports, n.control.expiredReports = map[string]*nodeReport{}, map[string]*nodeReport{}
	n.control.zoneLoads = map[string]*zoneLoad{}
	report := func(epoch, seq int64) []packedReport {
		r := sampleReport("dead")
		return []packedReport{{Host: "dead", Epoch: epoch, Seq: seq, Body: r.packed}}
	}
	n.mergeReports(now, "peer", report(1, 5))
	c.Assert(n.control.reports["dead"], qt.IsNotNil)
	now = now.Add(minReportTTL + time.Second)
	n.expireLoads(now)
	c.Assert(n.control.reports["dead"], qt.IsNil)
	n.mergeReports(now, "peer", report(1, 5))
	c.Assert(n.control.reports["dead"], qt.IsNil)
	n.mergeReports(now, "peer", report(1, 6))
	c.Assert(n.control.reports["dead"], qt.IsNotNil, qt.Commentf("the node is alive"))
	now = now.Add(minReportTTL + time.Second)
	n.expireLoads(now)
	n.mergeReports(now, "peer", report(2, 1))
	c.Assert(n.control.reports["dead"], qt.IsNotNil, qt.Commentf("the node was restarted"))
	now = now.Add(2 * expiredRetention)
	n.expireLoads(now)
	n.expireLoads(now)
	c.Assert(n.control.expiredReports, qt.HasLen, 0)
}
