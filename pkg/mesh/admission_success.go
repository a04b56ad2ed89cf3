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

// addSuccess sets the probability that admitted requests of each kind succeed, by the losses in the reports that haven't
// expired. Without losses it sets nothing.
func (n *Node) addSuccess(now time.Time, roots []overload.KindDemand, reports []*loads.Report, graph callgraph.Graph, places map[string]callgraph.Placement) {
	n.control.hops.Update(now, reports)
	if n.off[settings.RequestSuccess] {
		return
	}
	all := success.Requests(graph, places, n.control.hops.Share)
	if all == nil {
		return
	}
	for i := range roots {
		route, _ := loads.SplitKind(roots[i].Kind)
		if r, known := all[route]; known {
			roots[i].Success, roots[i].SuccessAt = r.Total, r.At
		}
		roots[i].Services = slices.Collect(maps.Keys(places[route].Shares))
	}
}
