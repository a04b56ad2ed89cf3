package node

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/admission"
	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/metric"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/routing"
)

// Status summarizes a daemon's state.
type Status struct {
	VM          string             `json:"vm"`
	Zone        string             `json:"zone"`
	Service     string             `json:"service,omitempty"`
	Incarnation string             `json:"incarnation"`
	Version     int64              `json:"version"`
	Leaving     bool               `json:"leaving"`
	Gate        admission.Snapshot `json:"gate"`
	KeyRanges   int                `json:"key_ranges"`
	VMs         int                `json:"vms"`
}

// Status returns a summary of the daemon's state.
func (n *Node) Status() Status {
	snap := n.snapshot.Load()
	st := Status{
		VM: n.cfg.VM, Zone: n.cfg.Zone, Service: n.cfg.Service, Incarnation: n.incarnation,
		Version: snap.version(), Leaving: n.leaving.Load(), Gate: n.gate.read(n.clock.Now()), VMs: len(snap.vms),
	}
	n.home.with(func(h *onceonly.Home) { st.KeyRanges = len(h.Ranges()) })
	return st
}

// Dump holds a daemon's state for debugging.
type Dump struct {
	Status        Status                       `json:"status"`
	At            time.Time                    `json:"at"`
	Levels        map[string]priority.Priority `json:"levels"` // learned from answers, by service and class
	LatencyFloors map[string]time.Duration     `json:"needs_ns"`
	Servers       []routing.Snapshot           `json:"servers"`
	Calls         []ActiveCall                 `json:"calls"` // calls in progress, at most maxDumpCalls
	Keys          onceonly.Counts              `json:"keys"`
	Ranges        []int                        `json:"ranges"`
	RangeRows     map[string]int64             `json:"range_rows"` // row versions by service
	Neighbors     []string                     `json:"neighbors"`
	Nodes         map[string]member.NodeInfo   `json:"nodes"`
	PeerConns     int                          `json:"peer_connections"`
	Repeats       int                          `json:"repeat_keys"`
}

// ActiveCall describes an inbound call in progress.
type ActiveCall struct {
	ID       string            `json:"id"`
	Root     string            `json:"root"`
	Class    string            `json:"class"`
	Priority priority.Priority `json:"priority"`
	Tokens   int               `json:"tokens"`
	LeftMS   int64             `json:"left_ms"`
	Outbound int               `json:"outbound"`
}

// maxDumpCalls limits the calls that a dump lists.
const maxDumpCalls = 200

// Dump returns the state of the daemon.
func (n *Node) Dump() Dump {
	now := n.clock.Now()
	snap := n.snapshot.Load()
	d := Dump{
		Status: n.Status(), At: now, Levels: n.levels.All(now), LatencyFloors: n.latencyFloors.all(),
		RangeRows: map[string]int64{}, Nodes: snap.nodes, PeerConns: n.peers.count(), Repeats: n.guard.KeyCount(),
	}
	for _, s := range n.pool.All() {
		d.Servers = append(d.Servers, s.Snapshot(now))
	}
	n.inbounds.Range(func(_, x any) bool {
		d.Calls = append(d.Calls, x.(*inbound).activeCall(now))
		return len(d.Calls) < maxDumpCalls
	})
	n.home.with(func(h *onceonly.Home) {
		d.Keys = h.Memory.Counts()
		d.Ranges = h.Ranges()
	})
	for name, row := range snap.rows {
		d.RangeRows[name] = row.Version
	}
	for _, v := range snap.neighbors {
		d.Neighbors = append(d.Neighbors, v.Name)
	}
	return d
}

// activeCall returns the call's state for a dump.
func (in *inbound) activeCall(now time.Time) ActiveCall {
	r := in.stats(now)
	return ActiveCall{
		ID: in.id, Root: in.call.RootID, Class: in.call.Class, Priority: in.call.Priority,
		Tokens: in.ledger.Balance(), LeftMS: in.deadline.Sub(now).Milliseconds(), Outbound: r.outbound,
	}
}

// all returns the latency floor of each route.
func (t *latencyFloorTable) all() map[string]time.Duration {
	out := map[string]time.Duration{}
	t.routes.Range(func(k, x any) bool {
		out[k.(string)] = time.Duration(x.(*routeLatency).floor.Load())
		return true
	})
	return out
}

// Metrics returns the daemon's metrics.
func (n *Node) Metrics() *metric.Set { return n.metrics }

// Explanation says how a request would be handled, and why.
type Explanation struct {
	Route    string        `json:"route,omitempty"`
	Service  string        `json:"service"`
	Class    string        `json:"class,omitempty"`
	Tier     priority.Tier `json:"tier"`
	OnceOnly bool          `json:"once_only"`
	Timeout  string        `json:"timeout"`
	Retries  int           `json:"retries"`
	Policies []string      `json:"policies,omitempty"`
	Targets  []TargetView  `json:"targets"`
	Why      []string      `json:"why"`
}

// TargetView is one target of a policy with the VMs that it selects now.
type TargetView struct {
	Selector string   `json:"selector"`
	Weight   int      `json:"weight"`
	VMs      []string `json:"vms"`
	Leaving  []string `json:"leaving,omitempty"`
}

// NoRouteError reports a request that matches no route.
type NoRouteError struct{ Match config.Match }

// Error describes the request.
func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route takes %s %s on host %q", e.Match.Method, e.Match.Path, e.Match.Host)
}

// Explain returns how a caller's request would be handled; the error is a *NoRouteError.
func (n *Node) Explain(m config.Match) (Explanation, error) {
	snap := n.snapshot.Load()
	if snap.plan == nil {
		return Explanation{}, &NoRouteError{m}
	}
	t, route := snap.plan.RequestTreatment(m)
	if t == nil {
		return Explanation{}, &NoRouteError{m}
	}
	e := Explanation{
		Route: route, Service: t.Service, Class: t.Class, Tier: t.Tier, OnceOnly: t.OnceOnly,
		Timeout: t.Timeout.String(), Retries: t.Retries, Policies: t.Policies, Targets: targetViews(snap, t),
	}
	e.Why = append(e.Why, fmt.Sprintf("route %s leads %s %s to service %s", route, m.Method, m.Path, t.Service))
	if t.Class == "" {
		e.Why = append(e.Why, "no class matches, so the defaults hold")
	} else {
		e.Why = append(e.Why, fmt.Sprintf("class %s is the narrowest that matches", t.Class))
	}
	if len(t.Policies) > 0 {
		e.Why = append(e.Why, "policies that attach, the first that sets a field wins: "+strings.Join(t.Policies, ", "))
	}
	return e, nil
}

// targetViews lists the treatment's targets, or all of the service's VMs as one target if there are none.
func targetViews(snap *snapshot, t *config.Treatment) []TargetView {
	if len(t.Targets) == 0 {
		return []TargetView{targetView(snap, t.Service, "", 1, func(routing.Candidate) bool { return true })}
	}
	var views []TargetView
	for _, target := range t.Targets {
		views = append(views, targetView(snap, t.Service, target.Selector.String(), target.Weight,
			func(c routing.Candidate) bool { return target.Selector.Matches(c.Labels) }))
	}
	return views
}

// targetView lists the service's VMs that selects accepts, those that leave apart.
func targetView(snap *snapshot, service, selector string, weight int, selects func(routing.Candidate) bool) TargetView {
	v := TargetView{Selector: selector, Weight: weight, VMs: []string{}}
	for _, c := range snap.candidates {
		if c.VM.Service != service || !selects(c) {
			continue
		}
		if c.Leaving {
			v.Leaving = append(v.Leaving, c.VM.Name)
			continue
		}
		v.VMs = append(v.VMs, c.VM.Name)
	}
	return v
}

// maxHistory limits the versions that History returns.
const maxHistory = 100

// History returns up to most documents, the newest first, starting with the version in force here.
func (n *Node) History(ctx context.Context, most int) ([]config.Document, error) {
	var list []config.Document
	for v := n.snapshot.Load().version(); v > 0 && len(list) < min(most, maxHistory); v-- {
		doc, err := n.DocumentVersion(ctx, v)
		if err != nil {
			return list, err
		}
		list = append(list, *doc)
	}
	return list, nil
}

// ReleaseRanges gives a VM's key ranges to other nodes when an operator states that the VM is gone for good, and
// returns how many it gave. The ranges' key memory counts as lost. The daemon must serve the VM's service.
func (n *Node) ReleaseRanges(ctx context.Context, vm string) (int, error) {
	v, err := n.rangeView(ctx)
	if err != nil {
		return 0, err
	}
	var nodes []onceonly.Node
	for _, o := range v.nodes {
		if o.VM != vm {
			nodes = append(nodes, o)
		}
	}
	row, moved := v.row.ReassignLost(func(o onceonly.Owner) bool { return o.VM == vm }, nodes)
	if !moved {
		return 0, &HandoverError{fmt.Sprintf("%s owns no key range of service %s, or no other node can own them", vm, n.cfg.Service)}
	}
	count := 0
	for _, o := range v.row.Owners {
		if o.VM == vm {
			count++
		}
	}
	if !n.commitAndAdoptRow(ctx, row, "released by an operator") {
		return 0, &HandoverError{"the row of key ranges couldn't be changed; retry"}
	}
	return count, nil
}
