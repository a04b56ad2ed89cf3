package loads

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// prices is the further customer's shape: two services share a callee, one kind is split over two services.
func prices() madeUpGraph {
	const ms = time.Millisecond
	return madeUpGraph{
		services: []string{"quotes", "corrections", "releases", "archive"},
		routes: map[string]madeUpRoute{
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

// deep is a chain of calls through many services, with a kind of its own at each second one.
func deep(services int) madeUpGraph {
	const ms = time.Millisecond
	g := madeUpGraph{routes: map[string]madeUpRoute{}}
	for i := range services {
		name := fmt.Sprintf("s%02d", i)
		g.services = append(g.services, name)
		calls := map[string]int{}
		if i+1 < services {
			calls[fmt.Sprintf("call%02d", i+1)] = 1
		}
		g.routes[fmt.Sprintf("call%02d", i)] = madeUpRoute{at: []string{name}, work: 10 * ms, limit: 3000 * ms, calls: calls}
		if i%2 == 1 {
			g.routes[fmt.Sprintf("own%02d", i)] = madeUpRoute{rate: 20, at: []string{name}, work: 40 * ms, limit: 3500 * ms}
		}
	}
	top := g.routes["call00"]
	top.rate = 60
	g.routes["call00"] = top
	return g
}

// trueRuns returns the runs by service of one request of a route.
func (g madeUpGraph) trueRuns(route string) map[string]float64 {
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

// checkRoots holds the runs that root requests seem to cause against the true ones; error is a share of the latter, and
// stray the runs that a root may seem to cause where it has none, as a share of what others cause there.
func (g madeUpGraph) checkRoots(c *qt.C, seed uint64, span time.Duration, most, stray float64) {
	reports := g.play(seed, span)
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
		prices().checkRoots(c, seed, 8*time.Second, 0.3, 0.4)
	}
}

func TestCostsOfCallsSeenLateAreLearned(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(3) {
		g := prices()
		g.late = 8 * time.Millisecond
		g.checkRoots(c, seed, 8*time.Second, 0.35, 0.5)
	}
}

// While calls are shed or fail, a kind that makes none may be taken for a caller: the time limits of some calls tell
// nothing, and the rates of the true caller and of a kind beside it explain them alike.
func TestCostsStayRightThroughFailures(t *testing.T) {
	c := qt.New(t)
	for name, change := range map[string]func(g *madeUpGraph){
		"failed": func(g *madeUpGraph) { g.failed = 0.05 },
		"shed":   func(g *madeUpGraph) { g.shed = 0.1 },
	} {
		c.Run(name, func(c *qt.C) {
			for seed := range uint64(3) {
				g := prices()
				change(&g)
				g.checkRoots(c, seed, 8*time.Second, 0.35, 0.5)
			}
		})
	}
}

func TestCostsOfDeepChainsAreLearned(t *testing.T) {
	c := qt.New(t)
	for _, services := range []int{3, 8, 28} {
		deep(services).checkRoots(c, 1, 8*time.Second, 0.3, 0.3)
	}
}
