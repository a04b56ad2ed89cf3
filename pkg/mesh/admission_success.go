package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/success"
)

// minLoadedUse is the share of a service's usable slots that have to be in use for its losses to come from load. Where servers
// refuse work and slots stay free, the usable slots are raised, up to three times, and losses don't lessen with the load.
const minLoadedUse = 0.7

// addSuccess sets the probability that admitted requests of each kind succeed, by the losses in the reports that haven't
// expired. Without losses it sets nothing.
func (n *Node) addSuccess(now time.Time, in *planInputs) {
	n.control.hops.Update(now, in.reports)
	if n.off[settings.RequestSuccess] {
		return
	}
	all := success.Requests(in.graph, in.places, n.control.hops.Share)
	if all == nil {
		return
	}
	for _, r := range all {
		maps.DeleteFunc(r.At, func(service string, _ float64) bool {
			return in.slotsInUse(service) < minLoadedUse*in.capacity[service]
		})
	}
	for i := range in.roots {
		k := &in.roots[i]
		route, _ := loads.SplitKind(k.Kind)
		if r, known := all[route]; known {
			k.Success, k.SuccessAt = r.Total, r.At
		}
		k.Services = slices.Collect(maps.Keys(in.places[route].Shares))
	}
}

// planInputs is what a plan is computed from.
type planInputs struct {
	reports  []*loads.Report
	graph    callgraph.Graph
	places   map[string]callgraph.Placement
	roots    []overload.KindDemand
	capacity map[string]float64
}

// slotsInUse returns the slots that runs hold at a service, by the reports.
func (in *planInputs) slotsInUse(service string) float64 {
	sum := 0.0
	for _, r := range in.reports {
		if r.Service == service {
			for _, run := range r.Runs {
				sum += run.Rate * run.HoldSeconds
			}
		}
	}
	return sum
}
