package callgraph

// Placement says which services a route runs on, by share, and how long a run holds a slot there, in seconds.
type Placement struct {
	Shares      map[string]float64
	HoldSeconds float64
}

// Cost is what one request of a route takes, with all calls below it.
type Cost struct {
	SlotSeconds map[string]float64 // slot seconds by service
	Runs        map[string]float64 // runs by service
}

// Graph is the calls that one run makes, by the service that it runs on and its route.
type Graph map[string]map[string]Rates

// Costs returns the cost of one request of every route.
func Costs(graph Graph, places map[string]Placement) map[string]Cost {
	w := walk{graph: graph, places: places, done: make(map[string]Cost, len(places)), open: map[string]bool{}}
	for route := range places {
		w.cost(route)
	}
	return w.done
}

// walk works out each route once, after those that it calls. A route that is called below itself is left
// out there: a few stray calls make such cycles look real.
type walk struct {
	graph  Graph
	places map[string]Placement
	done   map[string]Cost
	open   map[string]bool // on the way down to the present route
}

func (w *walk) cost(route string) Cost {
	if c, ok := w.done[route]; ok {
		return c
	}
	c := Cost{SlotSeconds: map[string]float64{}, Runs: map[string]float64{}}
	p, known := w.places[route]
	if !known || w.open[route] {
		return c
	}
	w.open[route] = true
	for service, share := range p.Shares {
		c.SlotSeconds[service] += share * p.HoldSeconds
		c.Runs[service] += share
		for called, n := range w.graph[service][route] {
			if n >= MinCallsPerRun {
				c.add(w.cost(called), share*n)
			}
		}
	}
	delete(w.open, route)
	w.done[route] = c
	return c
}

// add puts n times another cost on top.
func (c Cost) add(o Cost, n float64) {
	for s, v := range o.SlotSeconds {
		c.SlotSeconds[s] += n * v
	}
	for s, v := range o.Runs {
		c.Runs[s] += n * v
	}
}
