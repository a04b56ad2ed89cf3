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

// The constants of storing what was learned.
const (
	// storeLearnedPeriod is the time between checks whether the learned values have changed since they were stored.
	storeLearnedPeriod = 4 * time.Second
	// minCallsChangeRatio and minCallsChange bound, as a share and in calls, the change of the calls per run up to which
	// nothing is written.
	minCallsChangeRatio = 0.25
	minCallsChange      = 0.2
	// holdChangeFactor is the factor by which the slot hold time has to change to be written: hold times vary with the load,
	// and the first runs after a start correct them.
	holdChangeFactor = 2.0
	// demandChangeFactor is the same for the request rate of a kind, which determines admission right after a start.
	demandChangeFactor = 1.5
)

// storeLearned writes what was learned of the local service's runs to the store, from one node of that service, until ctx
// ends.
func (n *Node) storeLearned(ctx context.Context) {
	var stored loads.Learned
	var epoch int64
	for clock.Sleep(ctx, n.jitter(storeLearnedPeriod)) {
		if n.storeEpoch.changed(&epoch) {
			stored = loads.Learned{} // the new epoch may have lost what was written
		}
		if !n.isServiceWriter() {
			continue
		}
		known, ok := n.collectLearned(ctx)
		if !ok || !learnedDiffers(known, stored) {
			continue
		}
		err := n.callStore(ctx, n.storeAvailability.newAttempt(), writeLearnedCall, storeCallTimeout, func(ctx context.Context) error {
			return n.store.WriteLearned(ctx, known)
		})
		if err != nil {
			n.controlLog.Warn("failed to store learned calls", "err", err)
			continue
		}
		stored = known
		n.metrics.count("learned_stored_total")
		n.controlLog.Info("learned calls stored", "routes", len(known.CallsPerRun))
	}
}

// collectLearned returns what is known reliably of the local service's runs, or false if ctx ends first.
func (n *Node) collectLearned(ctx context.Context) (loads.Learned, bool) {
	calls := n.stats.knownCalls()
	var known loads.Learned
	if !n.enqueueAndWait(ctx, func() { known = n.learnedOfService(n.cfg.Service, calls, n.control.attemptRates) }) {
		return loads.Learned{}, false
	}
	return known, true
}

// learnedOfService combines the given calls per run of a service's routes with their retained run times, whether they are
// internal, and the given request rates per second by kind. It runs on the control goroutine.
func (n *Node) learnedOfService(service string, calls map[string]callgraph.Rates, demand map[string]float64) loads.Learned {
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
	for kind, rate := range demand {
		if _, known := calls[routeOf(kind)]; known && rate > 0 {
			l.Demand[kind] = rate
		}
	}
	slices.Sort(l.InternalRoutes)
	return l
}

// routeOf returns the route of a kind of request (loads.Kind).
func routeOf(kind string) string {
	route, _ := loads.SplitKind(kind)
	return route
}

// allLearned returns what is known of all services, for a node that has just started. It includes only demand that isn't in
// the reports, since the node receives those as well.
func (n *Node) allLearned() []loads.Learned {
	var all []loads.Learned
	missing := n.control.retainedDemand.Uncounted(n.clock.Now())
	for service, runs := range n.control.retainedRuns.ByService() {
		calls := make(map[string]callgraph.Rates, len(runs))
		for route, run := range runs {
			calls[route] = run.CallsPerRun
		}
		all = append(all, n.learnedOfService(service, calls, missing))
	}
	return all
}

// isServiceWriter reports whether this node has the lowest host address of the nodes with a server of its service. Only
// that node stores what the nodes have learned of the service.
func (n *Node) isServiceWriter() bool {
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

// learnedDiffers reports whether the learned values differ enough from the stored ones to be written.
func learnedDiffers(known, stored loads.Learned) bool {
	for route, calls := range known.CallsPerRun {
		if callsDiffer(calls, stored.CallsPerRun[route]) ||
			differByFactor(holdChangeFactor, known.Times[route].HoldSeconds, stored.Times[route].HoldSeconds) {
			return true
		}
	}
	for _, kind := range slices.Concat(slices.Collect(maps.Keys(known.Demand)), slices.Collect(maps.Keys(stored.Demand))) {
		if differByFactor(demandChangeFactor, known.Demand[kind], stored.Demand[kind]) {
			return true
		}
	}
	return !slices.Equal(known.InternalRoutes, stored.InternalRoutes)
}

// callsDiffer reports whether the calls per run differ by more than minCallsChangeRatio and minCallsChange.
func callsDiffer(known, stored callgraph.Rates) bool {
	for _, called := range slices.Concat(slices.Collect(maps.Keys(known)), slices.Collect(maps.Keys(stored))) {
		if n := known[called]; math.Abs(n-stored[called]) > max(minCallsChange, minCallsChangeRatio*n) {
			return true
		}
	}
	return false
}

// differByFactor reports whether one of two values is more than factor times the other.
func differByFactor(factor, a, b float64) bool { return max(a, b) > factor*min(a, b) }
