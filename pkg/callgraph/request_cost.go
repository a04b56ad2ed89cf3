package callgraph

// Placement holds which services a route runs on, by share of its runs, and for how many seconds a run holds a slot.
type Placement struct {
	Shares      map[string]float64
	HoldSeconds float64
}

// Cost is what one request of a route takes, including all calls below it.
type Cost struct {
	SlotSeconds map[string]float64 // by service
	Runs        map[string]float64 // by service
}

// Graph holds the calls that one run makes, by the service that it runs on and its route.
type Graph map[string]map[string]Rates

// Costs returns the cost of one request of each route.
func Costs(graph Graph, places map[string]Placement) map[string]Cost {
	w := costWalk{graph: graph, places: places, done: make(map[string]Cost, len(places)), onPath: map[string]bool{}}
	for route := range places {
		w.cost(route)
	}
	return w.done
}

// costWalk computes each route once, after those that it calls. A route that is called below itself is omitted there: a few
// stray calls make such cycles look real.
type costWalk struct {
	graph  Graph
	places map[string]Placement
	done   map[string]Cost
	onPath map[string]bool // routes on the path down to the current one
}

func (w *costWalk) cost(route string) Cost {
	if c, ok := w.done[route]; ok {
		return c
	}
	c := Cost{SlotSeconds: map[string]float64{}, Runs: map[string]float64{}}
	p, known := w.places[route]
	if !known || w.onPath[route] {
		return c
	}
	w.onPath[route] = true
	for service, share := range p.Shares {
		c.SlotSeconds[service] += share * p.HoldSeconds
		c.Runs[service] += share
		for called, n := range w.graph[service][route] {
			if n >= MinCallsPerRun {
				c.add(w.cost(called), share*n)
			}
		}
	}
	delete(w.onPath, route)
	w.done[route] = c
	return c
}

// add adds n times another cost.
func (c Cost) add(o Cost, n float64) {
	for s, v := range o.SlotSeconds {
		c.SlotSeconds[s] += n * v
	}
	for s, v := range o.Runs {
		c.Runs[s] += n * v
	}
}
