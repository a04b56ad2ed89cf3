package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The report of a node that was dead went round between the others: one that had dropped it took it for news from one that
// hadn't yet. What the dead node had told counted on in the plan, and it was taken for alive.
func TestAReportThatLapsedIsntTakenAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	n := &Node{ip: "n"}
	n.control.reports, n.control.lapsed = map[string]*nodeReport{}, map[string]*nodeReport{}
	n.control.zones = map[string]*zoneLoad{}
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
	c.Assert(n.control.reports["dead"], qt.IsNotNil, qt.Commentf("it lives"))
	now = now.Add(minReportTTL + time.Second)
	n.expireLoads(now)
	n.mergeReports(now, "peer", report(2, 1))
	c.Assert(n.control.reports["dead"], qt.IsNotNil, qt.Commentf("it was started anew"))
	now = now.Add(2 * expiredRetention)
	n.expireLoads(now)
	n.expireLoads(now)
	c.Assert(n.control.lapsed, qt.HasLen, 0)
}
