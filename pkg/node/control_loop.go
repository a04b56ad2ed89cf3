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

// recentFor is the time for which news of a node goes along with every exchange.
const recentFor = 5 * time.Second

// controlState is what the control goroutine owns.
type controlState struct {
	n        *Node
	register config.Register
	roster   member.Roster
	rows     map[string]onceonly.OwnerRow
	recent   map[string]time.Time // when news of a node was taken

	started      time.Time
	dirty        bool // something is to be spread
	turn         int  // neighbour of the next regular exchange
	nextExchange time.Time
	nextHead     time.Time
	nextVMs      time.Time
	nextRanges   time.Time
	nextDrain    time.Time
	busy         map[string]bool // work of which one instance runs at a time
}

func newControlState(n *Node) *controlState {
	now := n.clock.Now()
	s := &controlState{
		n: n, started: now, rows: map[string]onceonly.OwnerRow{},
		recent: map[string]time.Time{}, busy: map[string]bool{},
	}
	s.mergeNode(now, s.self())
	return s
}

// self is what this node says of itself.
func (s *controlState) self() member.NodeInfo {
	return member.NodeInfo{VM: s.n.cfg.VM, Incarnation: s.n.incarnation, Leaving: s.n.leaving.Load()}
}

// controlLoop runs what others ask of the control state, and its own periodic work.
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

// onControl runs fn in the control goroutine and waits for it.
func (n *Node) onControl(ctx context.Context, fn func(*controlState)) error {
	done := make(chan struct{})
	select {
	case n.control <- func(s *controlState) { fn(s); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return errStopped
	}
	// The loop ends only between two functions, so after that fn can't run any more.
	select {
	case <-done:
		return nil
	case <-n.stopped:
		return errStopped
	}
}

// toControl hands fn to the control goroutine without waiting.
func (n *Node) toControl(fn func(*controlState)) {
	select {
	case n.control <- fn:
	case <-n.ctx.Done():
	}
}

func (s *controlState) tick(now time.Time) {
	c := s.n.cfg.Control
	if s.dirty {
		s.dirty = false
		s.spread()
	}
	if due(now, &s.nextExchange, c.Exchange) {
		s.exchangeNext()
	}
	if due(now, &s.nextHead, s.n.jitter(c.PollHead)) {
		s.work("head", s.n.pollTable)
	}
	if due(now, &s.nextVMs, s.n.jitter(s.listPeriod())) {
		s.work("vms", s.n.pollList)
	}
	if due(now, &s.nextRanges, rangePeriod) && s.n.cfg.Service != "" {
		s.work("ranges", s.n.keepRanges)
	}
	if s.n.cfg.Backend.DrainPath != "" && due(now, &s.nextDrain, drainPeriod) {
		s.work("drain", s.n.pollDrain)
	}
	for vm, at := range s.recent {
		if now.Sub(at) > recentFor {
			delete(s.recent, vm)
		}
	}
}

// due tells whether the time has come, and sets the next one.
func due(now time.Time, next *time.Time, period time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(period)
	return true
}

// work runs fn in a goroutine of its own unless the last run of the same name goes on.
func (s *controlState) work(name string, fn func(context.Context)) {
	if s.busy[name] {
		return
	}
	s.busy[name] = true
	n := s.n
	go func() {
		fn(n.ctx)
		n.toControl(func(s *controlState) { delete(s.busy, name) })
	}()
}

// offerDocument takes a configuration if it is newer.
func (s *controlState) offerDocument(doc *config.Document) bool {
	old := s.register.Version()
	if !s.register.Offer(doc) {
		return false
	}
	s.n.log.control.Info("configuration in force", "version", doc.Version, "before", old, "change", doc.ChangeID)
	s.n.metrics.Set("config_version", doc.Version)
	s.dirty = true
	return true
}

// offerRow takes a row of key ranges if it is newer.
func (s *controlState) offerRow(row onceonly.OwnerRow) bool {
	if row.Version <= s.rows[row.Service].Version {
		return false
	}
	s.rows[row.Service] = row
	if row.Service == s.n.cfg.Service {
		now := s.n.clock.Now()
		s.n.home.with(func(h *onceonly.Home) { h.Adopt(now, row) })
	}
	s.dirty = true
	return true
}

// mergeNode takes what a node says of itself.
func (s *controlState) mergeNode(now time.Time, info member.NodeInfo) bool {
	old, known := s.roster.Node(info.VM)
	if !s.roster.MergeNode(info) {
		return false
	}
	if known && old.Incarnation != info.Incarnation {
		s.n.pool.Forget(info.VM)
	}
	s.recent[info.VM] = now
	s.dirty = true
	return true
}

// publish makes a new snapshot for calls.
func (n *Node) publish(s *controlState) {
	old := n.snapshot.Load()
	snap := &snapshot{
		plan: s.register.Plan(), doc: s.register.Document(),
		vms: map[string]member.VM{}, nodes: map[string]member.NodeInfo{},
		rows: maps.Clone(s.rows), selfTarget: map[*config.Treatment]bool{},
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
			n.Leave("the platform or an operator says so")
		}
	}
	for _, info := range s.roster.Nodes() {
		snap.nodes[info.VM] = info
	}
	snap.neighbors = n.neighbors(snap)
	n.markSelf(snap)
	n.pool.Retain(func(vm string) bool { _, ok := snap.vms[vm]; return ok })
	for _, srv := range n.pool.All() {
		srv.SetLeaving(s.roster.Leaving(srv.VM))
	}
	if old.plan != snap.plan {
		n.followSlots(snap)
	}
	n.snapshot.Store(snap)
}

// neighbors are the VMs with which this daemon exchanges control state: few, lasting, and of every zone.
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

// markSelf notes for which treatments of the own service the policy targets this VM.
func (n *Node) markSelf(snap *snapshot) {
	if snap.plan == nil || n.cfg.Service == "" {
		return
	}
	self, ok := candidate(snap, n.cfg.VM)
	if !ok || self.Leaving {
		return
	}
	for _, t := range snap.plan.Treatments(n.cfg.Service) {
		snap.selfTarget[t] = t.Selects(self.Labels)
	}
}

func candidate(snap *snapshot, vm string) (routing.Candidate, bool) {
	for _, c := range snap.candidates {
		if c.VM.Name == vm {
			return c, true
		}
	}
	return routing.Candidate{}, false
}

func (n *Node) followSlots(snap *snapshot) {
	if snap.plan == nil {
		return
	}
	if svc := snap.plan.Service(n.cfg.Service); svc != nil {
		n.gate.setSlots(svc.Spec.Slots)
	}
}
