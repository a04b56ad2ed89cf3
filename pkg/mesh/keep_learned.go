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
	// storeLearnedPeriod is the time between looks at whether what was learned has changed since it was stored.
	storeLearnedPeriod = 4 * time.Second
	// minCallsChangeRatio is the change of the calls of a run that is worth a write, as a share and in calls.
	minCallsChangeRatio = 0.25
	minCallsChange      = 0.2
	// holdChangeFactor is how many times longer or shorter runs hold a slot for it to be worth a write: holds vary with the
	// load, and the first runs after a start correct them.
	holdChangeFactor = 2.0
	// demandChangeFactor is the same for how often a kind is asked for, which sets what is taken in right after a start.
	demandChangeFactor = 1.5
)

// storeLearned stores what was learned of the own service's runs, from one of its nodes.
func (n *Node) storeLearned(ctx context.Context) {
	var stored loads.Learned
	var era int64
	for clock.Sleep(ctx, jitter(storeLearnedPeriod)) {
		if n.era.changed(&era) {
			stored = loads.Learned{} // what was written may be lost
		}
		if !n.isServiceWriter() {
			continue
		}
		known, ok := n.collectLearned(ctx)
		if !ok || !learnedDiffers(known, stored) {
			continue
		}
		err := n.callStore(ctx, n.storeWatch.newAttempt(), writeLearnedCall, storeCallTimeout, func(ctx context.Context) error {
			return n.store.WriteLearned(ctx, known)
		})
		if err != nil {
			n.controlLog.Warn("learned calls not stored", "err", err)
			continue
		}
		stored = known
		n.metrics.count("learned_stored_total")
		n.controlLog.Info("learned calls stored", "routes", len(known.Calls))
	}
}

// collectLearned returns what is known well of the own service's runs; it reports false if ctx ends first.
func (n *Node) collectLearned(ctx context.Context) (loads.Learned, bool) {
	calls := n.stats.knownCalls()
	var known loads.Learned
	if !n.ask(ctx, func() { known = n.learnedOfService(n.cfg.Service, calls, n.control.asked) }) {
		return loads.Learned{}, false
	}
	return known, true
}

// learnedOfService puts what the control goroutine knows of a service's routes, and how often they are asked for, beside the calls
// that their runs make.
func (n *Node) learnedOfService(service string, calls map[string]callgraph.Rates, asked map[string]float64) loads.Learned {
	l := loads.Learned{Service: service, Calls: calls, Times: map[string]loads.RunTimes{}, Asked: map[string]float64{}}
	runs := n.control.kept.Services()[service]
	for route := range calls {
		if run, known := runs[route]; known {
			l.Times[route] = loads.RunTimes{Rate: run.Rate, Hold: run.Hold}
		}
		if n.control.judged.called[route] {
			l.Inner = append(l.Inner, route)
		}
	}
	for kind, rate := range asked {
		if _, known := calls[routeOf(kind)]; known && rate > 0 {
			l.Asked[kind] = rate
		}
	}
	slices.Sort(l.Inner)
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
	missing := n.control.demand.Missing(n.clock.Now())
	for service, runs := range n.control.kept.Services() {
		calls := make(map[string]callgraph.Rates, len(runs))
		for route, run := range runs {
			calls[route] = run.Calls
		}
		all = append(all, n.learnedOfService(service, calls, missing))
	}
	return all
}

// isServiceWriter tells whether this node is the first of those beside its service's servers: what nodes know together of a service one of them stores.
func (n *Node) isServiceWriter() bool {
	v := n.view.Load()
	if v.own.Service == "" {
		return false
	}
	for _, p := range v.services[v.own.Service] {
		if p.host < n.ip {
			return false
		}
	}
	return true
}

// learnedDiffers tells whether what is known of a route differs clearly from what is stored.
func learnedDiffers(known, stored loads.Learned) bool {
	for route, calls := range known.Calls {
		if callsDiffer(calls, stored.Calls[route]) ||
			differByFactor(holdChangeFactor, known.Times[route].Hold, stored.Times[route].Hold) {
			return true
		}
	}
	for _, kind := range slices.Concat(slices.Collect(maps.Keys(known.Asked)), slices.Collect(maps.Keys(stored.Asked))) {
		if differByFactor(demandChangeFactor, known.Asked[kind], stored.Asked[kind]) {
			return true
		}
	}
	return !slices.Equal(known.Inner, stored.Inner)
}

// callsDiffer tells whether a run makes clearly more or fewer calls.
func callsDiffer(known, stored callgraph.Rates) bool {
	for _, called := range slices.Concat(slices.Collect(maps.Keys(known)), slices.Collect(maps.Keys(stored))) {
		if n := known[called]; math.Abs(n-stored[called]) > max(minCallsChange, minCallsChangeRatio*n) {
			return true
		}
	}
	return false
}

// differByFactor tells whether one of two values is more than so many times the other.
func differByFactor(times, a, b float64) bool { return max(a, b) > times*min(a, b) }
