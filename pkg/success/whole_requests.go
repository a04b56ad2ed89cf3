package success

import (
	"math"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// minHopShare is the lowest success share of a hop that is multiplied, so that no product is 0.
const minHopShare = 0.01

// Request is the probability that the calls below one request succeed.
type Request struct {
	Total float64
	// At holds, by service, the probability that the calls to that service succeed; Total is the product of all.
	At map[string]float64
}

// Requests returns the probability for one request of each route: the product of the success shares of the expected
// calls below it. It returns nil if no call is lost.
func Requests(graph callgraph.Graph, places map[string]callgraph.Placement, share func(route string) float64) map[string]Request {
	losses, any := logLosses(places, share)
	if !any {
		return nil
	}
	all := make(map[string]Request, len(places))
	// The cost of a request adds up the hold times of its expected runs; with the negative logarithms of the success shares
	// in place of hold times it is that of the product.
	for route, cost := range callgraph.Costs(graph, losses) {
		own := losses[route]
		r := Request{Total: 1, At: make(map[string]float64, len(cost.SlotSeconds))}
		for service, loss := range cost.SlotSeconds {
			below := math.Exp(-max(loss-own.Shares[service]*own.HoldSeconds, 0))
			r.At[service] = below
			r.Total *= below
		}
		all[route] = r
	}
	return all
}

// logLosses returns the placements with the negative logarithm of each route's success share as hold time, and whether
// any of them isn't 0.
func logLosses(places map[string]callgraph.Placement, share func(route string) float64) (losses map[string]callgraph.Placement, any bool) {
	losses = make(map[string]callgraph.Placement, len(places))
	for route, p := range places {
		loss := 0.0
		if s := share(route); s < 1 {
			loss, any = -math.Log(max(s, minHopShare)), true
		}
		losses[route] = callgraph.Placement{Shares: p.Shares, HoldSeconds: loss}
	}
	return losses, any
}
