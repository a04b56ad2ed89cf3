package mesh

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/loads"
)

// The constants of keeping what was learned.
const (
	// keepPeriod is the time between looks at whether what was learned has changed since it was stored.
	keepPeriod = 4 * time.Second
	// keepChange is the change of the calls of a run that is worth a write, as a share and in calls.
	keepChange = 0.25
	keepLeast  = 0.2
	// keepHoldChange is how many times longer or shorter runs hold a slot for it to be worth a write: holds vary with the
	// load, and the first runs after a start correct them.
	keepHoldChange = 2.0
	// keepAskedChange is the same for how often a kind is asked for, which sets what is taken in right after a start.
	keepAskedChange = 1.5
)

// keepLearned stores what was learned of the own service's runs, from one of its nodes.
func (n *Node) keepLearned(ctx context.Context) {
	var stored loads.Learned
	var era int64
	for clock.Sleep(ctx, jitter(keepPeriod)) {
		if n.storeEpoch.left(&era) {
			stored = loads.Learned{} // what was written may be lost
		}
		if !n.storesForService() {
			continue
		}
		known, ok := n.learnedNow(ctx)
		if !ok || !differ(known, stored) {
			continue
		}
		err := n.callStore(ctx, n.storeWatch.try(), writeLearnedCall, storeCallTime, func(ctx context.Context) error {
			return n.store.WriteLearned(ctx, known)
		})
		if err != nil {
			n.controlLog.Warn("learned calls not stored", "err", err)
			continue
		}
		stored = known
		n.metrics.count("learned_stored_total")
		n.controlLog.Info("learned calls stored", "routes", len(known.CallsPerRun))
	}
}

// learnedNow returns what is known well of the own service's runs; it reports false if ctx ends first.
func (n *Node) learnedNow(ctx context.Context) (loads.Learned, bool) {
	calls := n.stats.known()
	var known loads.Learned
	if !n.enqueueAndWait(ctx, func() { known = n.learnedOf(n.cfg.Service, calls, n.control.attemptRates) }) {
		return loads.Learned{}, false
	}
	return known, true
}

// learnedOf puts what the control goroutine knows of a service's routes, and how often they are asked for, beside the calls
// that their runs make.
func (n *Node) learnedOf(service string, calls map[string]callgraph.Rates, asked map[string]float64) loads.Learned {
	l := loads.Learned{Service: service, CallsPerRun: calls, Times: map[string]loads.RunTiming{}, Demand: map[string]float64{}}
	runs := n.control.retainedRuns.ByService()[service]
	for route := range calls {
		if run, known := runs[route]; known {
			l.Times[route] = loads.RunTiming{Rate: run.Rate, HoldSeconds: run.HoldSeconds}
		}
		if n.control.internalRoutes.internal[route] {
			l.InternalRoutes = append(l.InternalRoutes, route)
		}
	}
	for kind, rate := range asked {
		if _, known := calls[routeOf(kind)]; known && rate > 0 {
			l.Demand[kind] = rate
		}
	}
	slices.Sort(l.InternalRoutes)
	return l
}

// routeOf returns the route of a kind of request.
func routeOf(kind string) string {
	route, _ := loads.SplitKind(kind)
	return route
}

// allLearned returns what is known of all services, for a node that knows nothing yet. What is counted of the demand it
// hears from the reports.
func (n *Node) allLearned() []loads.Learned {
	var all []loads.Learned
	missing := n.control.retainedDemand.Uncounted(n.clock.Now())
	for service, runs := range n.control.retainedRuns.ByService() {
		calls := make(map[string]callgraph.Rates, len(runs))
		for route, run := range runs {
			calls[route] = run.CallsPerRun
		}
		all = append(all, n.learnedOf(service, calls, missing))
	}
	return all
}

// storesForService tells whether this node is the first of those beside its service's servers: what nodes know together of a service one of them stores.
func (n *Node) storesForService() bool {
	v := n.view.Load()
	if v.localServer.Service == "" {
		return false
	}
	for _, p := range v.services[v.localServer.Service] {
		if p.host < n.ip {
			return false
		}
	}
	return true
}

// differ tells whether what is known of a route differs clearly from what is stored.
func differ(known, stored loads.Learned) bool {
	for route, calls := range known.CallsPerRun {
		if differInCalls(calls, stored.CallsPerRun[route]) ||
			differBy(keepHoldChange, known.Times[route].HoldSeconds, stored.Times[route].HoldSeconds) {
			return true
		}
	}
	for _, kind := range slices.Concat(slices.Collect(maps.Keys(known.Demand)), slices.Collect(maps.Keys(stored.Demand))) {
		if differBy(keepAskedChange, known.Demand[kind], stored.Demand[kind]) {
			return true
		}
	}
	return !slices.Equal(known.InternalRoutes, stored.InternalRoutes)
}

// differInCalls tells whether a run makes clearly more or fewer calls.
func differInCalls(known, stored callgraph.Rates) bool {
	for _, called := range slices.Concat(slices.Collect(maps.Keys(known)), slices.Collect(maps.Keys(stored))) {
		if n := known[called]; math.Abs(n-stored[called]) > max(keepLeast, keepChange*n) {
			return true
		}
	}
	return false
}

// differBy tells whether one of two values is more than so many times the other.
func differBy(times, a, b float64) bool { return max(a, b) > times*min(a, b) }
