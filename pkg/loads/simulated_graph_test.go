package loads

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// simulatedRoute is a route of a simulated graph; roots have a rate.
type simulatedRoute struct {
	rate  float64 // first attempts a second in the whole system
	at    []string
	work  time.Duration
	limit time.Duration
	calls map[string]int
}

// simulatedGraph is a call graph with its demand and its failures.
type simulatedGraph struct {
	services []string
	routes   map[string]simulatedRoute
	failed   float64       // share of runs that fail after their work, which also fails the calling run
	shed     float64       // share of calls that the server refuses
	late     time.Duration // longest delay after which a node sees a call
}

// simulatedNode is a node beside a server of the graph.
type simulatedNode struct {
	learner callgraph.Learner
	entries map[string]Entry
	runs    map[string]RunStats // Rate is a count, HoldSeconds a sum
}

// simulation runs a graph in simulated time, with one node for each service.
type simulation struct {
	graph          simulatedGraph
	rnd            *rand.Rand
	nodes          map[string]*simulatedNode
	events         []simulationEvent
	internalRoutes map[string]bool
}

type simulationEvent struct {
	at time.Duration
	do func(now time.Time)
}

const (
	// classifiedAt is when routes are classified; calls are learned from then on.
	classifiedAt = 2 * time.Second
	// learnerInterval is the time between the learners' updates.
	learnerInterval = 100 * time.Millisecond
)

var simulationStart = time.Unix(5000, 0)

// simulate returns the reports after a time.
func (g simulatedGraph) simulate(seed uint64, span time.Duration) []*Report {
	p := &simulation{graph: g, rnd: rand.New(rand.NewPCG(seed, 3)), nodes: map[string]*simulatedNode{}}
	for _, s := range g.services {
		p.nodes[s] = &simulatedNode{entries: map[string]Entry{}, runs: map[string]RunStats{}}
	}
	for _, name := range sortedRoutes(g.routes) {
		r := g.routes[name]
		for at := time.Duration(0); r.rate > 0 && at < span; at += time.Duration(p.rnd.ExpFloat64() / r.rate * float64(time.Second)) {
			p.request(name, g.services[p.rnd.IntN(len(g.services))], at, r.limit, 0)
		}
	}
	for at := learnerInterval; at < span; at += learnerInterval {
		p.add(at, p.updateLearners)
	}
	p.add(classifiedAt, p.classifyRoutes)
	slices.SortStableFunc(p.events, func(a, b simulationEvent) int { return cmp.Compare(a.at, b.at) })
	for _, e := range p.events {
		if e.at < span {
			e.do(simulationStart.Add(e.at))
		}
	}
	return p.reports(span)
}

func sortedRoutes(routes map[string]simulatedRoute) []string {
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (p *simulation) add(at time.Duration, do func(now time.Time)) {
	p.events = append(p.events, simulationEvent{at, do})
}

// request adds a request that begins beside a service's server, and all its effects; it returns when it ends and whether it
// succeeds.
func (p *simulation) request(route, beside string, at, left, late time.Duration) (end time.Duration, good bool) {
	r := p.graph.routes[route]
	left = min(left, r.limit).Truncate(time.Millisecond)
	n := p.nodes[beside]
	p.add(at+late, func(now time.Time) {
		e := n.entries[route]
		e.Fresh++
		if !n.learner.HasPossibleCaller(now.Add(left)) {
			e.WithoutCaller++
		}
		n.entries[route] = e
		if p.internalRoutes[route] {
			n.learner.ObserveCall(now, route, now.Add(left))
		}
	})
	if beside != "" && p.rnd.Float64() < p.graph.shed {
		return at + late, false
	}
	return p.run(route, r.at[p.rnd.IntN(len(r.at))], at+late, left)
}

// run adds one run at a service; it returns when it ends and whether it succeeds.
func (p *simulation) run(route, service string, at, left time.Duration) (end time.Duration, good bool) {
	r, n := p.graph.routes[route], p.nodes[service]
	var run *callgraph.Run
	p.add(at, func(now time.Time) { run = n.learner.BeginRun(now, route, now.Add(left)) })
	end, good = at+p.jitter(r.work), true
	for _, called := range sortedCalls(r.calls) {
		for range r.calls[called] {
			if !good || end >= at+left {
				break
			}
			late := time.Duration(p.rnd.Float64() * float64(p.graph.late))
			end, good = p.request(called, service, end, at+left-end, late)
		}
	}
	good = good && end < at+left && p.rnd.Float64() >= p.graph.failed
	end = min(end, at+left)
	p.add(end, func(now time.Time) {
		n.learner.EndRun(now, run, good)
		x := n.runs[route]
		x.Rate++
		x.HoldSeconds += (end - at).Seconds()
		n.runs[route] = x
	})
	return end, good
}

func sortedCalls(calls map[string]int) []string {
	names := make([]string, 0, len(calls))
	for name := range calls {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (p *simulation) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + p.rnd.Float64()) * float64(d))
}

func (p *simulation) updateLearners(now time.Time) {
	for _, n := range p.nodes {
		n.learner.Update(now)
	}
}

// classifyRoutes separates internal routes from clients' ones by the requests seen so far.
func (p *simulation) classifyRoutes(time.Time) {
	all := Origins{}
	for _, r := range p.reports(classifiedAt) {
		all.AddReport("z", r)
	}
	p.internalRoutes = all.InternalRoutes(func(string) bool { return false })
}

// reports returns the nodes' reports after a time.
func (p *simulation) reports(span time.Duration) []*Report {
	var all []*Report
	for _, s := range p.graph.services {
		n := p.nodes[s]
		r := &Report{Host: s, Service: s, Entries: map[string]Entry{}, Runs: map[string]RunStats{}}
		for route, e := range n.entries {
			r.Entries[route] = Entry{Fresh: e.Fresh / span.Seconds(), WithoutCaller: e.WithoutCaller / span.Seconds()}
		}
		for route, x := range n.runs {
			r.Runs[route] = RunStats{Rate: x.Rate / span.Seconds(), HoldSeconds: x.HoldSeconds / x.Rate, CallsPerRun: n.learner.CallsPerRun(route)}
		}
		all = append(all, r)
	}
	return all
}
