package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/routing"
)

// The timing of key range changes: the period of checks, the longest wait for all nodes of a new service, and how much
// longer each node waits than the one before it by name.
const (
	rangeCheckPeriod = 500 * time.Millisecond
	firstRowMaxWait  = 4 * time.Second
	moveLostDelay    = 3 * time.Second
)

// rangeCloseTimeout is the longest time that a closing range waits for its runs; the outcome of those still in progress
// then goes over as unknown.
const rangeCloseTimeout = 5 * time.Second

// rangeView is the state on which decisions about key ranges are based.
type rangeView struct {
	row       onceonly.OwnerRow
	hasRow    bool
	nodes     []onceonly.Node // of the service: known, listed, not leaving, and targeted by its policies
	missing   int             // VMs of the service whose node isn't known yet
	ownerGone func(onceonly.Owner) bool
	age       time.Duration // since this node started
	position  int           // this node's index in nodes, -1 if it isn't there
}

// rangeView returns the current state of the local service's key ranges; the error is that of runOnControl.
func (n *Node) rangeView(ctx context.Context) (v rangeView, err error) {
	err = n.runOnControl(ctx, func(s *controlState) {
		snap := n.snapshot.Load()
		v.row, v.hasRow = s.rows[n.cfg.Service]
		v.age = n.clock.Now().Sub(s.started)
		v.nodes, v.missing = s.serviceNodes(snap)
		v.position = slices.IndexFunc(v.nodes, func(o onceonly.Node) bool { return o.VM == n.cfg.VM })
		gone := map[string]bool{}
		for _, o := range v.row.Owners {
			gone[o.VM] = s.roster.Removed(o.VM)
		}
		v.ownerGone = func(o onceonly.Owner) bool { return gone[o.VM] }
	})
	return v, err
}

// serviceNodes returns the nodes that may own key ranges of the local service, and the number of its VMs whose node
// isn't known yet.
func (s *controlState) serviceNodes(snap *snapshot) (nodes []onceonly.Node, missing int) {
	for _, c := range snap.candidates {
		if c.VM.Service != s.n.cfg.Service || c.Leaving || !s.isTargeted(snap, c) {
			continue
		}
		info, ok := s.roster.Node(c.VM.Name)
		if !ok {
			missing++
			continue
		}
		if !info.Leaving {
			nodes = append(nodes, onceonly.Node{VM: info.VM, Incarnation: info.Incarnation})
		}
	}
	return nodes, missing
}

// isTargeted tells whether any policy sends calls of the local service to the VM.
func (s *controlState) isTargeted(snap *snapshot, c routing.Candidate) bool {
	if snap.plan == nil {
		return true
	}
	for _, t := range snap.plan.Treatments(s.n.cfg.Service) {
		if t.Selects(c.Labels) {
			return true
		}
	}
	return false
}

// reconcileRanges makes sure that every key range has a live owner and that this node owns at most about its fair share.
// It makes one kind of change per call.
func (n *Node) reconcileRanges(ctx context.Context) {
	v, err := n.rangeView(ctx)
	if err != nil || n.snapshot.Load().plan == nil {
		return
	}
	switch {
	case !v.hasRow:
		n.createRow(ctx, v)
	case n.openLostRanges(ctx):
	case n.reclaimRanges(ctx, v):
	case n.moveLostRanges(ctx, v):
	default:
		n.handOverSurplus(ctx, v)
	}
}

// createRow deals out a new service's ranges. Only the first node by name does it, once all nodes are known or
// firstRowMaxWait has passed.
func (n *Node) createRow(ctx context.Context, v rangeView) {
	if v.position != 0 || (v.missing > 0 && v.age < firstRowMaxWait) {
		return
	}
	n.commitAndAdoptRow(ctx, onceonly.NewOwnerRow(n.cfg.Service, v.nodes), "assigned for the first time")
}

// reclaimRanges takes over this VM's ranges from the previous incarnation of its node, whose memory is lost; it reports
// whether there were any.
func (n *Node) reclaimRanges(ctx context.Context, v rangeView) bool {
	row, moved := v.row.Reclaim(onceonly.Node{VM: n.cfg.VM, Incarnation: n.incarnation})
	if moved {
		n.commitAndAdoptRow(ctx, row, "reclaimed after a restart")
	}
	return moved
}

// moveLostRanges gives away the ranges of owners whose VMs are gone, and reports whether there were any. Each node waits
// longer than the one before it by name, so that they don't commit the same change at once.
func (n *Node) moveLostRanges(ctx context.Context, v rangeView) bool {
	if v.position < 0 {
		return false
	}
	row, moved := v.row.ReassignLost(v.ownerGone, v.nodes)
	if !moved {
		return false
	}
	if !clock.Sleep(ctx, time.Duration(v.position)*moveLostDelay) && v.position > 0 {
		return true
	}
	n.commitAndAdoptRow(ctx, row, "moved from VMs that are gone")
	return true
}

// commitAndAdoptRow commits a row, adopts what the table holds afterwards, and reports whether that is the given row.
func (n *Node) commitAndAdoptRow(ctx context.Context, row onceonly.OwnerRow, why string) bool {
	have, err := n.commitRow(ctx, row)
	if err != nil {
		n.log.once.Warn("key ranges can't be changed", "why", why, "err", err)
		return false
	}
	if err := n.adoptRow(ctx, have); err != nil {
		return false
	}
	if have == row {
		n.log.once.Info("key ranges "+why, "service", row.Service, "version", row.Version)
		return true
	}
	return false
}

// adoptRow merges a row of key ranges into the control state; the error is that of runOnControl.
func (n *Node) adoptRow(ctx context.Context, row onceonly.OwnerRow) error {
	return n.runOnControl(ctx, func(s *controlState) { s.merge(exchange{Rows: []onceonly.OwnerRow{row}}) })
}

// surplusSlack is how many ranges above its fair share a node may own, so that ranges don't move back and forth.
const surplusSlack = 2

// handOverSurplus hands over all of this node's ranges if no policy targets it, else those above its fair share.
func (n *Node) handOverSurplus(ctx context.Context, v rangeView) {
	mine := n.idleRanges(v)
	if len(mine) == 0 || len(v.nodes) == 0 || n.leaving.Load() {
		return
	}
	if v.position < 0 {
		n.handOverRanges(ctx, v.row, mine, v.nodes)
		return
	}
	fair := (onceonly.NumRanges + len(v.nodes) - 1) / len(v.nodes)
	if len(mine) <= fair+surplusSlack {
		return
	}
	others := slices.DeleteFunc(slices.Clone(v.nodes), func(o onceonly.Node) bool { return o.VM == n.cfg.VM })
	n.handOverRanges(ctx, v.row, mine[fair:], others)
}

// idleRanges returns the ranges that this node owns, whose memory it has and which it doesn't hand over yet.
func (n *Node) idleRanges(v rangeView) (ranges []int) {
	mine := v.row.OwnedBy(n.cfg.VM, n.incarnation)
	n.home.with(func(h *onceonly.Home) { ranges = h.Idle(mine) })
	return ranges
}

// handOverRanges hands ranges over to the nodes that own the fewest; it reports whether all of them were accepted.
func (n *Node) handOverRanges(ctx context.Context, row onceonly.OwnerRow, ranges []int, nodes []onceonly.Node) bool {
	all := true
	for to, part := range row.Distribute(ranges, nodes) {
		if err := n.handOverTo(ctx, part, to); err != nil {
			n.log.once.Warn("key ranges can't be handed over", "to", to.VM, "err", err)
			all = false
		}
	}
	return all
}

// handOverTo hands ranges over to another node, which is told first. Then the row changes, and the memory follows; until it is at the next
// owner, this node serves the ranges, however long the commit takes. The error is a *HandoverError, or that of a message or the commit.
func (n *Node) handOverTo(ctx context.Context, ranges []int, to onceonly.Node) error {
	vm, ok := n.snapshot.Load().vms[to.VM]
	if !ok {
		return &HandoverError{to.VM + " isn't in the list of VMs"}
	}
	msg := onceonly.Handover{
		Service: n.cfg.Service, ID: uuid.NewString(), From: n.owner(), Ranges: ranges,
		To: onceonly.Owner{VM: to.VM, Incarnation: to.Incarnation},
	}
	n.home.with(func(h *onceonly.Home) { ok = h.BeginHandover(ranges, msg.To) })
	if !ok {
		return &HandoverError{"another handover of the ranges is in progress"}
	}
	err := n.announceHandover(ctx, vm, msg)
	if err == nil {
		return n.handOverAnnounced(ctx, vm, msg)
	}
	n.home.with(func(h *onceonly.Home) { h.EndHandover(ranges) })
	if isUnknownMessage(err) {
		return n.handOverClosed(ctx, vm, msg)
	}
	return err
}

// handOverClosed hands ranges over to a node of an earlier version, which knows no announcements: it closes the ranges, sends their memory
// and then changes the row. This node stays the owner until the row is known to have changed, and the ranges stay closed while that is
// unknown. Ranges with runs in progress are left out, and the error is a *HandoverError if there are any.
func (n *Node) handOverClosed(ctx context.Context, vm member.VM, msg onceonly.Handover) error {
	all := len(msg.Ranges)
	msg.Ranges = n.closeForHandover(ctx, msg.Ranges)
	if len(msg.Ranges) > 0 {
		if err := n.sendAndCommit(ctx, vm, msg); err != nil {
			return err
		}
	}
	if left := all - len(msg.Ranges); left > 0 {
		return &HandoverError{fmt.Sprintf("runs are in progress in %d ranges", left)}
	}
	return nil
}

// closeForHandover closes those of the ranges that have no run in progress, and returns them. A leaving node whose ranges all have runs
// closes them all, and waits for the runs.
func (n *Node) closeForHandover(ctx context.Context, ranges []int) (closed []int) {
	leaving := n.leaving.Load()
	wait := false
	n.home.with(func(h *onceonly.Home) {
		closed = h.Memory.WithoutRuns(ranges)
		wait = len(closed) == 0 && leaving
		if wait {
			closed = ranges
		}
		h.CloseRanges(closed)
	})
	if wait {
		n.awaitRuns(ctx, closed)
	}
	return closed
}

// sendAndCommit sends the memory of closed ranges and then changes the row.
func (n *Node) sendAndCommit(ctx context.Context, vm member.VM, msg onceonly.Handover) error {
	closed := n.clock.Now()
	defer func() { n.logClosed(msg, closed) }()
	var row onceonly.OwnerRow
	n.home.with(func(h *onceonly.Home) {
		msg = h.Memory.Export(n.clock.Now(), msg)
		row = h.Row()
	})
	if err := n.sendHandover(ctx, vm, pathHandover, msg); err != nil {
		n.home.with(func(h *onceonly.Home) { h.ReopenRanges(msg.Ranges) })
		return err
	}
	changed, ok := row.HandOver(msg.Ranges, msg.From, msg.To)
	if !ok {
		n.home.with(func(h *onceonly.Home) { h.ReopenRanges(msg.Ranges) })
		return &HandoverError{"the ranges now have another owner"}
	}
	return n.commitHandover(ctx, changed, msg.Ranges)
}

// logClosed logs for how long ranges were closed for their handover.
func (n *Node) logClosed(msg onceonly.Handover, since time.Time) {
	n.log.once.Info("key ranges were closed for a handover", "to", msg.To.VM, "ranges", len(msg.Ranges), "for", n.clock.Now().Sub(since))
}

// sendHandover sends a message of a handover to the next owner; the error is that of the message.
func (n *Node) sendHandover(ctx context.Context, vm member.VM, path string, msg onceonly.Handover) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply handoverReply
	return n.peers.control(ctx, vm.Name, vm.Peer, path, msg, &reply)
}

// owner returns this node as the owner of ranges.
func (n *Node) owner() onceonly.Owner {
	return onceonly.Owner{VM: n.cfg.VM, Incarnation: n.incarnation}
}

// commitHandover commits the changed row and reopens the ranges here once it is known what the table holds, or that the commit had no effect.
// The error is a *HandoverError if another change of the row came first, or that of the commit.
func (n *Node) commitHandover(ctx context.Context, changed onceonly.OwnerRow, ranges []int) error {
	have, err := n.commitUntilKnown(ctx, changed)
	if err == nil || hadNoEffect(err) {
		n.home.with(func(h *onceonly.Home) { h.ReopenRanges(ranges) })
	}
	switch {
	case err != nil:
		return err
	case have != changed:
		return &HandoverError{"another change of the row came first"}
	}
	n.log.once.Info("key ranges handed over", "ranges", len(ranges), "version", changed.Version)
	return nil
}

// awaitRuns waits until no run is in progress in the ranges, at most rangeCloseTimeout.
func (n *Node) awaitRuns(ctx context.Context, ranges []int) {
	end := n.clock.Now().Add(rangeCloseTimeout)
	for {
		var here, elsewhere int
		n.home.with(func(h *onceonly.Home) { here, elsewhere = h.Memory.CountRunning(ranges) })
		if here+elsewhere == 0 {
			return
		}
		if !n.sleep(ctx, 10*time.Millisecond, end) {
			n.log.once.Warn("key ranges are handed over with runs in progress", "here", here, "elsewhere", elsewhere)
			return
		}
	}
}
