package mesh

import "github.com/rockspoke/rockspoke/pkg/callgraph"

// graphOf returns the calls that one run makes, averaged over the servers of its service by their runs.
func graphOf(loads []*loadReport) callgraph.Graph {
	g := callgraph.Graph{}
	rates := map[[2]string]float64{}
	for _, r := range loads {
		for route, run := range r.Runs {
			rates[[2]string{r.Service, route}] += run.Rate
		}
	}
	for _, r := range loads {
		if g[r.Service] == nil {
			g[r.Service] = map[string]callgraph.Rates{}
		}
		for route, run := range r.Runs {
			if g[r.Service][route] == nil {
				g[r.Service][route] = callgraph.Rates{}
			}
			for called, k := range run.Calls {
				g[r.Service][route][called] += k * run.Rate / rates[[2]string{r.Service, route}]
			}
		}
	}
	return g
}
