package loads

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// madeUpRoute is a route of a made-up graph: roots have a rate.
type madeUpRoute struct {
	rate  float64 // first attempts a second in the whole system
	at    []string
	work  time.Duration
	limit time.Duration
	calls map[string]int
}

// madeUpGraph is what is asked of some services, and how it goes wrong.
type madeUpGraph struct {
	services []string
	routes   map[string]madeUpRoute
	failed   float64       // share of runs that fail after their work, so that the run that called them fails as well
	shed     float64       // share of calls that the server refuses
	late     time.Duration // after which a node sees a call at the latest
}

// madeUpNode is a node beside a server of the graph.
type madeUpNode struct {
	learner callgraph.Learner
	entries map[string]Entry
	runs    map[string]RunStats // Rate counts, Hold adds up
}

// player plays a graph in made-up time, on one node for each service.
type player struct {
	graph  madeUpGraph
	rnd    *rand.Rand
	nodes  map[string]*madeUpNode
	events []playerEvent
	inner  map[string]bool
}

type playerEvent struct {
	at   time.Duration
	what func(now time.Time)
}

const (
	// judgedAt is when routes are told apart; calls are learned from then on.
	judgedAt = 2 * time.Second
	// looked is the time between looks of the learners.
	looked = 100 * time.Millisecond
)

var playStart = time.Unix(5000, 0)

// play returns the reports after a time.
func (g madeUpGraph) play(seed uint64, span time.Duration) []*Report {
	p := &player{graph: g, rnd: rand.New(rand.NewPCG(seed, 3)), nodes: map[string]*madeUpNode{}}
	for _, s := range g.services {
		p.nodes[s] = &madeUpNode{entries: map[string]Entry{}, runs: map[string]RunStats{}}
	}
	for _, name := range sortedRoutes(g.routes) {
		r := g.routes[name]
		for at := time.Duration(0); r.rate > 0 && at < span; at += time.Duration(p.rnd.ExpFloat64() / r.rate * float64(time.Second)) {
			p.request(name, g.services[p.rnd.IntN(len(g.services))], at, r.limit, 0)
		}
	}
	for at := looked; at < span; at += looked {
		p.add(at, p.look)
	}
	p.add(judgedAt, p.judge)
	slices.SortStableFunc(p.events, func(a, b playerEvent) int { return cmp.Compare(a.at, b.at) })
	for _, e := range p.events {
		if e.at < span {
			e.what(playStart.Add(e.at))
		}
	}
	return p.reports(span)
}

func sortedRoutes(routes map[string]madeUpRoute) []string {
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (p *player) add(at time.Duration, what func(now time.Time)) {
	p.events = append(p.events, playerEvent{at, what})
}

// request puts in a request that begins beside a service's server, and all that it causes; it returns when it ends
// and whether it ended well.
func (p *player) request(route, beside string, at, left, late time.Duration) (end time.Duration, good bool) {
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
		if p.inner[route] {
			n.learner.ObserveCall(now, route, now.Add(left))
		}
	})
	if beside != "" && p.rnd.Float64() < p.graph.shed {
		return at + late, false
	}
	return p.run(route, r.at[p.rnd.IntN(len(r.at))], at+late, left)
}

// run puts in one run at a service.
func (p *player) run(route, service string, at, left time.Duration) (end time.Duration, good bool) {
	r, n := p.graph.routes[route], p.nodes[service]
	var run *callgraph.Run
	p.add(at, func(now time.Time) { run = n.learner.BeginRun(now, route, now.Add(left)) })
	end, good = at+p.around(r.work), true
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

func (p *player) around(d time.Duration) time.Duration {
	return time.Duration((0.5 + p.rnd.Float64()) * float64(d))
}

func (p *player) look(now time.Time) {
	for _, n := range p.nodes {
		n.learner.Update(now)
	}
}

// judge tells calls from clients' requests, by what was seen until now.
func (p *player) judge(time.Time) {
	all := Origins{}
	for _, r := range p.reports(judgedAt) {
		all.AddReport("z", r)
	}
	p.inner = all.InternalRoutes(func(string) bool { return false })
}

// reports returns what the nodes tell after a time.
func (p *player) reports(span time.Duration) []*Report {
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
