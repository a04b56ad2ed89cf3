package mesh

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// The constants of keeping what was learned.
const (
	// keepPeriod is the time between looks at whether what was learned has changed since it was stored.
	keepPeriod = 4 * time.Second
	// keepChange is the change of the calls of a run that is worth a write, as a share and in calls.
	keepChange = 0.25
	keepLeast  = 0.2
)

// keepLearned stores what was learned of the own service's calls, from one of its nodes.
func (n *Node) keepLearned(ctx context.Context) {
	var stored map[string]callgraph.Rates
	for clock.Sleep(ctx, jitter(keepPeriod)) {
		if !n.keepsLearned() {
			continue
		}
		known := n.stats.known()
		if !differ(known, stored) {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, storeCallTime)
		err := n.store.WriteLearned(cctx, Learned{Service: n.cfg.Service, Calls: known})
		cancel()
		if err != nil {
			n.metrics.count("store_errors_total")
			n.controlLog.Warn("learned calls not stored", "err", err)
			continue
		}
		stored = known
		n.metrics.count("learned_stored_total")
		n.controlLog.Info("learned calls stored", "routes", len(known))
	}
}

// keepsLearned tells whether this node is the first of those beside its service's servers.
func (n *Node) keepsLearned() bool {
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

// recallLearned takes what was learned before this process started.
func (n *Node) recallLearned(all []Learned) {
	if n.off[settings.LearnedMemory] {
		return
	}
	for _, l := range all {
		if l.Service == n.cfg.Service {
			n.stats.recall(l.Calls)
			n.controlLog.Info("learned calls recalled", "routes", len(l.Calls))
		}
	}
}

// differ tells whether a run of a route that is known makes clearly more or fewer calls than by what is stored.
func differ(known, stored map[string]callgraph.Rates) bool {
	for route, calls := range known {
		for _, called := range slices.Concat(slices.Collect(maps.Keys(calls)), slices.Collect(maps.Keys(stored[route]))) {
			if n := calls[called]; math.Abs(n-stored[route][called]) > max(keepLeast, keepChange*n) {
				return true
			}
		}
	}
	return false
}
