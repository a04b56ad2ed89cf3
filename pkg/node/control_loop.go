package node

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/routing"
)

// controlTick is the period of the control goroutine.
const controlTick = 50 * time.Millisecond

// recentUpdateAge is the age up to which an update of a node goes along with every exchange.
const recentUpdateAge = 5 * time.Second

// controlState is the state that only the control goroutine reads and writes.
type controlState struct {
	n           *Node
	register    config.Register
	roster      member.Roster
	rows        map[string]onceonly.OwnerRow
	recentNodes map[string]time.Time // when a node's last update was adopted, by VM

	started       time.Time
	changed       bool // the next tick sends updates to all neighbors
	neighborIndex int  // index of the neighbor of the last regular exchange
	nextExchange  time.Time
	nextHead      time.Time
	nextVMs       time.Time
	nextRanges    time.Time
	nextDrain     time.Time
	running       map[string]bool // names of the work in progress, one run of each at a time
}

// newControlState returns a control state that holds only this node's own record.
func newControlState(n *Node) *controlState {
	now := n.clock.Now()
	s := &controlState{
		n: n, started: now, rows: map[string]onceonly.OwnerRow{},
		recentNodes: map[string]time.Time{}, running: map[string]bool{},
	}
	s.mergeNode(now, s.localInfo())
	return s
}

// localInfo returns this node's own record.
func (s *controlState) localInfo() member.NodeInfo {
	return member.NodeInfo{VM: s.n.cfg.VM, Incarnation: s.n.incarnation, Leaving: s.n.leaving.Load()}
}

// controlLoop runs functions queued for the control goroutine, and its periodic work, until the daemon stops.
func (n *Node) controlLoop(s *controlState) {
	defer close(n.stopped)
	ticks, stop := n.clock.NewTicker(controlTick)
	defer stop()
	for {
		select {
		case fn := <-n.control:
			fn(s)
		case <-ticks:
			s.tick(n.clock.Now())
		case <-n.ctx.Done():
			return
		}
	}
}

// errStopped reports that the daemon has stopped.
var errStopped = errors.New("daemon has stopped")

// runOnControl runs fn in the control goroutine and waits for it; the error is the context's or errStopped.
func (n *Node) runOnControl(ctx context.Context, fn func(*controlState)) error {
	done := make(chan struct{})
	select {
	case n.control <- func(s *controlState) { fn(s); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return errStopped
	}
	// The loop ends only between two functions, so fn can't run any more once it has ended.
	select {
	case <-done:
		return nil
	case <-n.stopped:
		return errStopped
	}
}

// enqueueControl queues fn for the control goroutine. It waits only for space in the queue.
func (n *Node) enqueueControl(fn func(*controlState)) {
	select {
	case n.control <- fn:
	case <-n.ctx.Done():
	}
}

// tick starts the periodic work that is due.
func (s *controlState) tick(now time.Time) {
	c := s.n.cfg.Control
	if s.changed {
		s.changed = false
		s.exchangeWithNeighbors()
	}
	if due(now, &s.nextExchange, c.Exchange) {
		s.exchangeWithNext()
	}
	if due(now, &s.nextHead, s.n.jitter(c.PollHead)) {
		s.startWork("head", s.n.pollTable)
	}
	if due(now, &s.nextVMs, s.n.jitter(s.vmListPeriod())) {
		s.startWork("vms", s.n.pollVMList)
	}
	if due(now, &s.nextRanges, rangeCheckPeriod) && s.n.cfg.Service != "" {
		s.startWork("ranges", s.n.reconcileRanges)
	}
	if s.n.cfg.Backend.DrainPath != "" && due(now, &s.nextDrain, drainPollPeriod) {
		s.startWork("drain", s.n.pollDrain)
	}
	for vm, at := range s.recentNodes {
		if now.Sub(at) > recentUpdateAge {
			delete(s.recentNodes, vm)
		}
	}
}

// due tells whether next has come; if so, it sets next to now plus the period.
func due(now time.Time, next *time.Time, period time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(period)
	return true
}

// startWork runs fn in a goroutine unless the last run under the same name is still in progress.
func (s *controlState) startWork(name string, fn func(context.Context)) {
	if s.running[name] {
		return
	}
	s.running[name] = true
	n := s.n
	go func() {
		fn(n.ctx)
		n.enqueueControl(func(s *controlState) { delete(s.running, name) })
	}()
}

// offerDocument adopts a configuration and reports true if it is newer.
func (s *controlState) offerDocument(doc *config.Document) bool {
	old := s.register.Version()
	if !s.register.Offer(doc) {
		return false
	}
	s.n.log.control.Info("configuration in force", "version", doc.Version, "before", old, "change", doc.ChangeID)
	s.n.metrics.Set("config_version", doc.Version)
	s.changed = true
	return true
}

// offerRow adopts a row of key ranges and reports true if it is newer.
func (s *controlState) offerRow(row onceonly.OwnerRow) bool {
	if row.Version <= s.rows[row.Service].Version {
		return false
	}
	s.rows[row.Service] = row
	if row.Service == s.n.cfg.Service {
		now := s.n.clock.Now()
		s.n.home.with(func(h *onceonly.Home) { h.Adopt(now, row) })
	}
	s.changed = true
	return true
}

// mergeNode adopts a node's record and reports true if it is newer.
func (s *controlState) mergeNode(now time.Time, info member.NodeInfo) bool {
	old, known := s.roster.Node(info.VM)
	if !s.roster.MergeNode(info) {
		return false
	}
	if known && old.Incarnation != info.Incarnation {
		s.n.pool.Forget(info.VM)
	}
	s.recentNodes[info.VM] = now
	s.changed = true
	return true
}

// publishSnapshot builds a new snapshot from the control state and makes it visible to calls.
func (n *Node) publishSnapshot(s *controlState) {
	old := n.snapshot.Load()
	snap := &snapshot{
		plan: s.register.Plan(), doc: s.register.Document(),
		vms: map[string]member.VM{}, nodes: map[string]member.NodeInfo{},
		rows: maps.Clone(s.rows), localTargets: map[*config.Treatment]bool{},
	}
	for _, v := range s.roster.VMs() {
		c := routing.Candidate{VM: v, Leaving: s.roster.Leaving(v.Name)}
		var byOperators map[string]string
		if snap.plan != nil {
			byOperators = snap.plan.VMLabels(v.Name)
		}
		c.Labels = v.AllLabels(byOperators)
		c.Leaving = c.Leaving || c.Labels[config.LabelLeaving] == "true"
		snap.candidates = append(snap.candidates, c)
		snap.vms[v.Name] = v
		if v.Name == n.cfg.VM && c.Leaving {
			n.Leave("marked as leaving by the platform or an operator")
		}
	}
	for _, info := range s.roster.Nodes() {
		snap.nodes[info.VM] = info
	}
	snap.neighbors = n.neighbors(snap)
	n.markLocalTargets(snap)
	n.pool.Retain(func(vm string) bool { _, ok := snap.vms[vm]; return ok })
	for _, srv := range n.pool.All() {
		srv.SetLeaving(s.roster.Leaving(srv.VM))
	}
	if old.plan != snap.plan {
		n.updateGateSlots(snap)
	}
	n.snapshot.Store(snap)
}

// neighbors returns the VMs with which this daemon exchanges control state: a small, stable set that covers every zone.
func (n *Node) neighbors(snap *snapshot) []member.VM {
	var others []routing.Candidate
	for _, c := range snap.candidates {
		if c.VM.Name != n.cfg.VM {
			others = append(others, c)
		}
	}
	choice := n.choice()
	choice.MaxSubset = n.cfg.Control.Neighbors
	var list []member.VM
	for _, c := range choice.Subset(others) {
		list = append(list, c.VM)
	}
	return list
}

// markLocalTargets marks the treatments of the local service whose policies target this VM.
func (n *Node) markLocalTargets(snap *snapshot) {
	if snap.plan == nil || n.cfg.Service == "" {
		return
	}
	self, ok := findCandidate(snap, n.cfg.VM)
	if !ok || self.Leaving {
		return
	}
	for _, t := range snap.plan.Treatments(n.cfg.Service) {
		snap.localTargets[t] = t.Selects(self.Labels)
	}
}

// findCandidate returns the snapshot's candidate with the VM's name.
func findCandidate(snap *snapshot, vm string) (routing.Candidate, bool) {
	for _, c := range snap.candidates {
		if c.VM.Name == vm {
			return c, true
		}
	}
	return routing.Candidate{}, false
}

// updateGateSlots sets the gate's slots to those that the plan gives the local service.
func (n *Node) updateGateSlots(snap *snapshot) {
	if snap.plan == nil {
		return
	}
	if svc := snap.plan.Service(n.cfg.Service); svc != nil {
		n.gate.setSlots(svc.Spec.Slots)
	}
}
