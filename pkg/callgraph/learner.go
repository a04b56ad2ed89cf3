package callgraph

import "slices"

// Rates are counts a second by route.
type Rates map[string]float64

// The constants of learning.
const (
	// forget is the weight that earlier samples keep at each new one of a service: some tens of samples count.
	forget = 0.97
	// pull is how strongly the calls of a route are drawn to the average of its service, as a share of the
	// evidence; it decides where the mix doesn't vary.
	pull = 0.004
	// rounds of the non-negative least squares, each a pass over the routes; the systems have few routes.
	rounds = 30
	// leastRate is the rate below which a route tells nothing.
	leastRate = 0.5
)

// Learner holds what was learned of all services; its zero value knows nothing. It isn't safe for concurrent use.
type Learner struct {
	services map[string]*evidence
}

// evidence is the normal equations of one service, over the routes that run there.
type evidence struct {
	routes []string             // that ran, in the order of the rows below
	runs   [][]float64          // sums of products of two routes' rates
	calls  map[string][]float64 // by called route: sums of products with the rate of each route that ran
	total  map[string]float64   // sums by called route
	sum    float64              // of all runs
	solved map[string]Rates     // calls by route that ran; nil: not worked out since the last sample
}

// Observe takes one sample of a node beside a server: what ran there and which calls the server made.
func (l *Learner) Observe(service string, runs, calls Rates) {
	if l.services == nil {
		l.services = make(map[string]*evidence)
	}
	e := l.services[service]
	if e == nil {
		e = &evidence{calls: map[string][]float64{}, total: map[string]float64{}}
		l.services[service] = e
	}
	e.solved = nil
	e.fade()
	for route, x := range runs {
		if x >= leastRate {
			e.row(route)
		}
	}
	x := make([]float64, len(e.routes))
	for i, route := range e.routes {
		if runs[route] >= leastRate {
			x[i] = runs[route]
		}
		e.sum += x[i]
	}
	for i := range x {
		for k := range x {
			e.runs[i][k] += x[i] * x[k]
		}
	}
	for c, y := range calls {
		e.total[c] += y
		products := e.products(c)
		for i := range x {
			products[i] += x[i] * y
		}
	}
}

// row returns the place of a route that runs, made if it is new.
func (e *evidence) row(route string) int {
	if i := slices.Index(e.routes, route); i >= 0 {
		return i
	}
	e.routes = append(e.routes, route)
	for i := range e.runs {
		e.runs[i] = append(e.runs[i], 0)
	}
	e.runs = append(e.runs, make([]float64, len(e.routes)))
	return len(e.routes) - 1
}

// products returns the sums of a called route, with a place for each route that runs.
func (e *evidence) products(c string) []float64 {
	p := e.calls[c]
	for len(p) < len(e.routes) {
		p = append(p, 0)
	}
	e.calls[c] = p
	return p
}

// faded is the value below which evidence is dropped.
const faded = 1e-3

// fade forgets a part of all evidence, and routes of which nothing is left.
func (e *evidence) fade() {
	e.sum *= forget
	for i := range e.runs {
		scale(e.runs[i], forget)
	}
	for c, p := range e.calls {
		scale(p, forget)
		if e.total[c] *= forget; e.total[c] < faded {
			delete(e.total, c)
			delete(e.calls, c)
		}
	}
	for i := len(e.routes) - 1; i >= 0; i-- {
		if e.runs[i][i] < faded {
			e.drop(i)
		}
	}
}

func (e *evidence) drop(i int) {
	e.routes = slices.Delete(e.routes, i, i+1)
	e.runs = slices.Delete(e.runs, i, i+1)
	for k := range e.runs {
		e.runs[k] = slices.Delete(e.runs[k], i, i+1)
	}
	for c, p := range e.calls {
		if i < len(p) {
			e.calls[c] = slices.Delete(p, i, i+1)
		}
	}
}

func scale(v []float64, by float64) {
	for i := range v {
		v[i] *= by
	}
}

// Calls returns how many calls of each route one run of the route makes on the service.
func (l *Learner) Calls(service, route string) Rates {
	e := l.services[service]
	if e == nil {
		return nil
	}
	if e.solved == nil {
		e.solveAll()
	}
	return e.solved[route]
}

func (e *evidence) solveAll() {
	e.solved = make(map[string]Rates, len(e.routes))
	for _, route := range e.routes {
		e.solved[route] = Rates{}
	}
	for c := range e.total {
		for i, n := range e.solve(c) {
			if n > 0 {
				e.solved[e.routes[i]][c] = n
			}
		}
	}
}

// solve returns the calls of route c by one run of each route: non-negative least squares, by passes that
// set one route at a time.
func (e *evidence) solve(c string) []float64 {
	n := make([]float64, len(e.routes))
	if e.sum <= 0 {
		return n
	}
	average := e.total[c] / e.sum
	for i := range n {
		n[i] = average
	}
	products := e.products(c)
	for range rounds {
		for i, row := range e.runs {
			own := row[i]
			if own <= 0 {
				continue
			}
			rest := products[i] + pull*own*average
			for k := range row {
				if k != i {
					rest -= row[k] * n[k]
				}
			}
			n[i] = max(rest/(own*(1+pull)), 0)
		}
	}
	return n
}

// Place says which services a route runs on, by share, and how long a run holds a slot there, in seconds.
type Place struct {
	Shares map[string]float64
	Hold   float64
}

// Cost is what one request of a route takes, with all calls below it.
type Cost struct {
	Slots map[string]float64 // slot seconds by service
	Runs  map[string]float64 // runs by service
}

// Costs returns the cost of one request of every route.
func (l *Learner) Costs(places map[string]Place) map[string]Cost {
	w := walk{learner: l, places: places, done: make(map[string]Cost, len(places)), open: map[string]bool{}}
	for route := range places {
		w.cost(route)
	}
	return w.done
}

// walk works out each route once, after those that it calls. A route that is called below itself is left
// out there: a few stray calls make such cycles look real.
type walk struct {
	learner *Learner
	places  map[string]Place
	done    map[string]Cost
	open    map[string]bool // on the way down to the present route
}

// strayCalls is the count of calls by one run below which they are taken for chance.
const strayCalls = 0.02

func (w *walk) cost(route string) Cost {
	if c, ok := w.done[route]; ok {
		return c
	}
	c := Cost{Slots: map[string]float64{}, Runs: map[string]float64{}}
	p, known := w.places[route]
	if !known || w.open[route] {
		return c
	}
	w.open[route] = true
	for service, share := range p.Shares {
		c.Slots[service] += share * p.Hold
		c.Runs[service] += share
		for called, n := range w.learner.Calls(service, route) {
			if n >= strayCalls {
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
	for s, v := range o.Slots {
		c.Slots[s] += n * v
	}
	for s, v := range o.Runs {
		c.Runs[s] += n * v
	}
}
