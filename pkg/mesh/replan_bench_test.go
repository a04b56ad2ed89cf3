package mesh

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// BenchmarkReplan measures the computation of one plan at a node of a mesh of 83 nodes in 4 zones: 0.29 ms with retained runs
// and demand, 0.25 ms without; 0.39 ms if they are retained anew with each plan.
func BenchmarkReplan(b *testing.B) {
	n := &Node{ip: "10.0.0.1", clock: clock.Real{}, cfg: settings.Settings{Zone: "a", Mesh: &settings.Mesh{}}}
	n.controlLog = slog.New(slog.DiscardHandler)
	n.metrics.init()
	n.state.Store(&desired.State{})
	n.view.Store(&view{})
	n.control.logged.shares = map[string]bool{}
	n.control.reports, n.control.zoneLoads = map[string]*nodeReport{}, map[string]*zoneLoad{}
	for i := range 21 {
		r := sampleReport(fmt.Sprint("10.0.0.", i))
		r.Service, r.receivedAt = fmt.Sprint("s", i%4), time.Now().Add(time.Hour)
		n.control.reports[r.Host] = &r
	}
	for _, zone := range []string{"b", "c", "d"} {
		n.control.zoneLoads[zone] = &zoneLoad{services: loads.SumByService(n.localZoneReports()), computedAt: time.Now().Add(time.Hour)}
	}
	b.ReportAllocs()
	for b.Loop() {
		n.replan(time.Now())
	}
}
