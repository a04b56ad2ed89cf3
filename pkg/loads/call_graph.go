package loads

import "github.com/rockspoke/rockspoke/pkg/callgraph"

// runKey names the runs of one route at the servers of one service.
type runKey struct{ service, route string }

// CallGraph returns the calls that one run makes by service and route, averaged over the service's servers by their runs.
func CallGraph(reports []*Report) callgraph.Graph {
	g := callgraph.Graph{}
	rates := runRates(reports)
	for _, r := range reports {
		if g[r.Service] == nil {
			g[r.Service] = map[string]callgraph.Rates{}
		}
		for route, run := range r.Runs {
			if g[r.Service][route] == nil {
				g[r.Service][route] = callgraph.Rates{}
			}
			for called, k := range run.CallsPerRun {
				g[r.Service][route][called] += k * run.Rate / rates[runKey{r.Service, route}]
			}
		}
	}
	return g
}

// runRates returns the runs a second of each route at all servers of a service.
func runRates(reports []*Report) map[runKey]float64 {
	rates := map[runKey]float64{}
	for _, r := range reports {
		for route, run := range r.Runs {
			rates[runKey{r.Service, route}] += run.Rate
		}
	}
	return rates
}
