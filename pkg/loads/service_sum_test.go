package loads

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// Costs computed from the sums by zone and service equal those from the single reports.
func TestSumsOfAZoneGiveTheSameCosts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var reports []*Report
		for i := range rapid.IntRange(1, 9).Draw(r, "nodes") {
			service := rapid.SampledFrom([]string{"top", "low"}).Draw(r, "service")
			x := Report{Host: fmt.Sprint(i), Service: service, UsableSlots: 10, Runs: map[string]RunStats{}, Entries: map[string]Entry{}}
			run := RunStats{Rate: rapid.Float64Range(1, 50).Draw(r, "rate"), HoldSeconds: rapid.Float64Range(0.01, 1).Draw(r, "hold")}
			if service == "top" {
				run.CallsPerRun = callgraph.Rates{"call": rapid.Float64Range(0.1, 5).Draw(r, "calls")}
				x.Runs["root"] = run
			} else {
				x.Runs["call"] = run
			}
			reports = append(reports, &x)
		}
		var summed []*Report
		sums := SumByService(reports)
		for i := range sums {
			summed = append(summed, &sums[i].Load)
		}
		a := callgraph.Costs(CallGraph(reports), Placements(reports))
		b := callgraph.Costs(CallGraph(summed), Placements(summed))
		for route, cost := range a {
			for service, slots := range cost.SlotSeconds {
				if d := slots - b[route].SlotSeconds[service]; d > 1e-6 || d < -1e-6 {
					r.Fatalf("%s at %s: %v and %v", route, service, slots, b[route].SlotSeconds[service])
				}
			}
		}
	})
}
