package mesh

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// Guards against admitting requests that need a service out of reach: in a zone cut off from the service's only servers, the
// reports of its runs expired, so the requests seemed to cost nothing there, and all of them failed half-way.
func TestRequestsForAnUnreachableServiceAreRejectedAtEntry(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	n := &Node{cfg: settings.Settings{Zone: "a"}, ip: "n"}
	n.controlLog = slog.New(slog.DiscardHandler)
	n.metrics.init()
	n.state.Store(&desired.State{})
	n.control.zoneLoads, n.control.logged.shares = map[string]*zoneLoad{}, map[string]bool{}
	near, far := &peer{host: "n", zone: "a"}, &peer{host: "f", zone: "b"}
	n.view.Store(&view{services: map[string][]*peer{"top": {near}, "low": {far}}})
	own := &nodeReport{receivedAt: now.Add(time.Hour), Report: loads.Report{
		Host: "n", Service: "top", UsableSlots: 10,
		Entries: map[string]loads.Entry{"root": {Fresh: 10}, "local": {Fresh: 10}},
		Runs:    map[string]loads.RunStats{"root": {Rate: 10, HoldSeconds: 0.1, CallsPerRun: callgraph.Rates{"called": 2}}, "local": {Rate: 10, HoldSeconds: 0.1}},
	}}
	n.control.reports = map[string]*nodeReport{"n": own}
	low := loads.Report{Service: "low", UsableSlots: 10, Runs: map[string]loads.RunStats{"called": {Rate: 20, HoldSeconds: 0.1}}}
	n.mergeZoneLoads(now, "f", []packedZone{{Zone: "b", Body: mustPack([]loads.ServiceSum{{Nodes: 1, Load: low}})}})
	n.replan(now)
	c.Assert(n.plan.Load().shares["root"].Fresh, qt.Equals, 1.0)
	n.replan(now.Add(minZoneLoadTTL + time.Second))
	c.Assert(n.plan.Load().shares["root"].Fresh, qt.Equals, 0.0)
	c.Assert(n.plan.Load().shares["local"].Fresh, qt.Equals, 1.0, qt.Commentf("what needs nothing from there is served"))
	n.replan(now.Add(minZoneLoadTTL + loads.RetentionTime + 2*time.Second))
	c.Assert(n.plan.Load().shares["root"].Fresh, qt.Equals, 1.0, qt.Commentf("it may have moved"))
}
