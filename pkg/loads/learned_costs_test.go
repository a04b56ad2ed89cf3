package loads

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// sharedCalleeGraph has two services that share a callee, and one kind that is split over two services.
func sharedCalleeGraph() simulatedGraph {
	const ms = time.Millisecond
	return simulatedGraph{
		services: []string{"quotes", "corrections", "releases", "archive"},
		routes: map[string]simulatedRoute{
			"read":    {rate: 90, at: []string{"quotes"}, work: 120 * ms, limit: 800 * ms, calls: map[string]int{"check": 1}},
			"correct": {rate: 35, at: []string{"corrections", "quotes"}, work: 160 * ms, limit: 1000 * ms, calls: map[string]int{"fixing": 2}},
			"release": {rate: 25, at: []string{"releases"}, work: 84 * ms, limit: 900 * ms},
			"history": {rate: 15, at: []string{"archive"}, work: 480 * ms, limit: 2500 * ms},
			"check":   {at: []string{"corrections"}, work: 15 * ms, limit: 2500 * ms, calls: map[string]int{"fixing": 1}},
			"fixing":  {at: []string{"releases"}, work: 15 * ms, limit: 2000 * ms, calls: map[string]int{"index": 4}},
			"index":   {at: []string{"archive"}, work: 30 * ms, limit: 700 * ms},
		},
	}
}

// deepChainGraph is a chain of calls through many services, with a root kind of its own at every second one.
func deepChainGraph(services int) simulatedGraph {
	const ms = time.Millisecond
	g := simulatedGraph{routes: map[string]simulatedRoute{}}
	for i := range services {
		name := fmt.Sprintf("s%02d", i)
		g.services = append(g.services, name)
		calls := map[string]int{}
		if i+1 < services {
			calls[fmt.Sprintf("call%02d", i+1)] = 1
		}
		g.routes[fmt.Sprintf("call%02d", i)] = simulatedRoute{at: []string{name}, work: 10 * ms, limit: 3000 * ms, calls: calls}
		if i%2 == 1 {
			g.routes[fmt.Sprintf("own%02d", i)] = simulatedRoute{rate: 20, at: []string{name}, work: 40 * ms, limit: 3500 * ms}
		}
	}
	top := g.routes["call00"]
	top.rate = 60
	g.routes["call00"] = top
	return g
}

// trueRuns returns the runs by service that one request of a route causes.
func (g simulatedGraph) trueRuns(route string) map[string]float64 {
	r := g.routes[route]
	runs := map[string]float64{}
	for _, s := range r.at {
		runs[s] += 1 / float64(len(r.at))
	}
	for called, n := range r.calls {
		for s, k := range g.trueRuns(called) {
			runs[s] += float64(n) * k
		}
	}
	return runs
}

// checkRoots compares the learned runs of root requests with the true ones. The error may be a share most of the latter;
// where a root truly has no runs, it may seem to cause up to stray of them.
func (g simulatedGraph) checkRoots(c *qt.C, seed uint64, span time.Duration, most, stray float64) {
	reports := g.simulate(seed, span)
	costs := callgraph.Costs(CallGraph(reports), Placements(reports))
	for route, r := range g.routes {
		if r.rate == 0 {
			continue
		}
		want, got := g.trueRuns(route), costs[route].Runs
		for _, s := range g.services {
			bound := most * want[s]
			if want[s] == 0 {
				bound = stray
			}
			c.Check(math.Abs(got[s]-want[s]) <= bound, qt.IsTrue, qt.Commentf("seed %d: %s at %s: %.2f of %.2f", seed, route, s, got[s], want[s]))
		}
	}
}

func TestCostsOfSharedCalleesAndSplitsAreLearned(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(4) {
		sharedCalleeGraph().checkRoots(c, seed, 8*time.Second, 0.3, 0.4)
	}
}

func TestCostsOfCallsSeenLateAreLearned(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(3) {
		g := sharedCalleeGraph()
		g.late = 8 * time.Millisecond
		g.checkRoots(c, seed, 8*time.Second, 0.35, 0.5)
	}
}

// Guards against naming a wrong caller while calls are shed or fail: the time limits of some calls then tell nothing, and
// the rates of the true caller and of a kind that runs beside it explain the calls equally well.
func TestFailuresDontNameAWrongCaller(t *testing.T) {
	c := qt.New(t)
	for name, change := range map[string]func(g *simulatedGraph){
		"failed": func(g *simulatedGraph) { g.failed = 0.05 },
		"shed":   func(g *simulatedGraph) { g.shed = 0.1 },
	} {
		c.Run(name, func(c *qt.C) {
			for seed := range uint64(3) {
				g := sharedCalleeGraph()
				change(&g)
				g.checkRoots(c, seed, 8*time.Second, 0.35, 0.5)
			}
		})
	}
}

func TestCostsOfDeepChainsAreLearned(t *testing.T) {
	c := qt.New(t)
	for _, services := range []int{3, 8, 28} {
		deepChainGraph(services).checkRoots(c, 1, 8*time.Second, 0.3, 0.3)
	}
}
