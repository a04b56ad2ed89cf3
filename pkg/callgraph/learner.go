package callgraph

import (
	"math"
	"slices"
)

// Rates are numbers by route: counts a second, or requests in progress.
type Rates map[string]float64

// The constants of learning.
const (
	// forget is the weight that earlier samples keep at each new one: at ten a second, half a minute counts.
	forget = 0.9975
	// pull is how strongly the calls of a route are drawn to the average of its server, as a share of the
	// evidence; it decides where the mix doesn't vary.
	pull = 0.0005
	// pullAll is the same as a share of the evidence of all routes: one that hardly runs tells little.
	pullAll = 0.00005
	// mostCalls is how many times the average of its server a route may call at most: one that hardly runs
	// is else given whatever the others leave unexplained.
	mostCalls = 4
	// rounds of the non-negative least squares, each a pass over the routes; the systems have few routes.
	rounds = 30
)

// Learner learns which calls the runs of each route make at one server, from samples of what was in
// progress there and which calls it made meanwhile. Its zero value knows nothing; it isn't safe for
// concurrent use.
type Learner struct {
	routes []string             // that ran, in the order of the rows below
	runs   [][]float64          // sums of products of two routes' requests in progress
	busy   []float64            // sums of requests in progress
	calls  map[string][]float64 // by called route: sums of products with the requests in progress of each route
	total  map[string]float64   // sums by called route
	begun  map[string]float64   // sums of runs begun a second, by route
	ended  map[string]float64   // sums of runs ended a second, by route
	sum    float64              // of all requests in progress
	solved map[string]Rates     // calls a second by route that ran; nil: not worked out since the last sample
}

// Sample is what was seen of a server for a while.
type Sample struct {
	Busy  Rates // requests in progress, on average
	Begun Rates // runs that began, a second
	Ended Rates // runs that ended, a second
	Calls Rates // calls made, a second
}

// Observe takes one sample; its weight is 1 for a usual one, and less for one that is to count and to push
// out older ones less.
func (l *Learner) Observe(s Sample, weight float64) {
	if l.calls == nil {
		l.calls, l.total = map[string][]float64{}, map[string]float64{}
		l.begun, l.ended = map[string]float64{}, map[string]float64{}
	}
	l.solved = nil
	l.fade(math.Pow(forget, weight))
	for route, x := range s.Busy {
		if x > 0 {
			l.row(route)
		}
	}
	x := make([]float64, len(l.routes))
	all := 0.0
	for i, route := range l.routes {
		x[i] = s.Busy[route]
		all += x[i]
		l.begun[route] += weight * s.Begun[route]
		l.ended[route] += weight * s.Ended[route]
		l.busy[i] += weight * x[i]
		l.sum += weight * x[i]
	}
	if all == 0 {
		return // calls without a run are stray ones
	}
	// Calls come at random, so their count spreads with its size: samples weigh less the more was in
	// progress. It also lets rate and duration change together without moving their product.
	for i := range x {
		for k := range x {
			l.runs[i][k] += weight * x[i] * x[k] / all
		}
	}
	for c, y := range s.Calls {
		l.total[c] += weight * y
		products := l.products(c)
		for i := range x {
			products[i] += weight * x[i] * y / all
		}
	}
}

// row returns the place of a route that runs, made if it is new.
func (l *Learner) row(route string) int {
	if i := slices.Index(l.routes, route); i >= 0 {
		return i
	}
	l.routes = append(l.routes, route)
	l.busy = append(l.busy, 0)
	for i := range l.runs {
		l.runs[i] = append(l.runs[i], 0)
	}
	l.runs = append(l.runs, make([]float64, len(l.routes)))
	return len(l.routes) - 1
}

// products returns the sums of a called route, with a place for each route that runs.
func (l *Learner) products(c string) []float64 {
	p := l.calls[c]
	for len(p) < len(l.routes) {
		p = append(p, 0)
	}
	l.calls[c] = p
	return p
}

// faded is the value below which evidence is dropped.
const faded = 1e-3

// fade forgets a part of all evidence, and routes of which nothing is left.
func (l *Learner) fade(keep float64) {
	l.sum *= keep
	scale(l.busy, keep)
	for i := range l.runs {
		scale(l.runs[i], keep)
	}
	for c, p := range l.calls {
		scale(p, keep)
		if l.total[c] *= keep; l.total[c] < faded {
			delete(l.total, c)
			delete(l.calls, c)
		}
	}
	for route := range l.ended {
		l.begun[route] *= keep
		l.ended[route] *= keep
	}
	for i := len(l.routes) - 1; i >= 0; i-- {
		if l.runs[i][i] < faded {
			l.drop(i)
		}
	}
}

func (l *Learner) drop(i int) {
	delete(l.begun, l.routes[i])
	delete(l.ended, l.routes[i])
	l.routes = slices.Delete(l.routes, i, i+1)
	l.busy = slices.Delete(l.busy, i, i+1)
	l.runs = slices.Delete(l.runs, i, i+1)
	for k := range l.runs {
		l.runs[k] = slices.Delete(l.runs[k], i, i+1)
	}
	for c, p := range l.calls {
		if i < len(p) {
			l.calls[c] = slices.Delete(p, i, i+1)
		}
	}
}

func scale(v []float64, by float64) {
	for i := range v {
		v[i] *= by
	}
}

// Calls returns how many calls of each route one run of the route makes.
func (l *Learner) Calls(route string) Rates {
	if l.solved == nil {
		l.solveAll()
	}
	return l.solved[route]
}

func (l *Learner) solveAll() {
	l.solved = make(map[string]Rates, len(l.routes))
	for _, route := range l.routes {
		l.solved[route] = Rates{}
	}
	for c := range l.total {
		n := l.solve(c)
		most := 0.0
		for i := range n {
			n[i] *= l.duration(i)
			most = max(most, n[i])
		}
		for i := range n {
			if n[i] >= max(StrayCalls, tracePart*most) {
				l.solved[l.routes[i]][c] = n[i]
			}
		}
	}
}

// tracePart of the calls of the route that makes most of them is what another one makes at least to be
// believed: less than that can't be told from noise within a day's load.
const tracePart = 0.2

// duration returns how long a run takes, over the same time as the rates of calls: both grow and shrink
// together when the services below are slow, so their product stays.
func (l *Learner) duration(i int) float64 {
	// Both counts are the same in the long run. In the first moments hardly any run has ended, and by those
	// alone each one would seem to last for ever.
	runs := max(l.begun[l.routes[i]], l.ended[l.routes[i]])
	if runs <= 0 {
		return 0
	}
	return l.busy[i] / runs
}

// solve returns the calls a second of route c by one run in progress of each route: non-negative least squares, by passes that
// set one route at a time.
func (l *Learner) solve(c string) []float64 {
	n := make([]float64, len(l.routes))
	if l.sum <= 0 {
		return n
	}
	average := l.total[c] / l.sum
	for i := range n {
		n[i] = average
	}
	products := l.products(c)
	all := 0.0
	for i := range l.runs {
		all += l.runs[i][i]
	}
	for range rounds {
		for i, row := range l.runs {
			own := row[i]
			if own <= 0 {
				continue
			}
			ridge := pull*own + pullAll*all
			rest := products[i] + ridge*average
			for k := range row {
				if k != i {
					rest -= row[k] * n[k]
				}
			}
			n[i] = min(max(rest/(own+ridge), 0), mostCalls*average)
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

// Graph is the calls that one run makes, by the service that it runs on and its route.
type Graph map[string]map[string]Rates

// Costs returns the cost of one request of every route.
func Costs(graph Graph, places map[string]Place) map[string]Cost {
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
	places map[string]Place
	done   map[string]Cost
	open   map[string]bool // on the way down to the present route
}

// StrayCalls is the count of calls by one run below which they are taken for chance.
const StrayCalls = 0.02

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
		for called, n := range w.graph[service][route] {
			if n >= StrayCalls {
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
