package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/routing"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// The periods of the care for key ranges: how often it looks, how long a new service's nodes are waited
// for, and how much longer each node waits than the one before it in name.
const (
	rangeCheckPeriod = 500 * time.Millisecond
	firstRowMaxWait  = 4 * time.Second
	moveLostDelay    = 3 * time.Second
)

// rangeCloseTimeout is the longest time that a closing range waits for its runs; what still runs then goes as uncertain.
const rangeCloseTimeout = 5 * time.Second

// rangeView is what the care for key ranges looks at.
type rangeView struct {
	row       onceonly.Row
	hasRow    bool
	nodes     []onceonly.Node // of the service, known, there, not leaving, and targeted by its policies
	missing   int             // VMs of the service whose node isn't known yet
	ownerGone func(onceonly.Owner) bool
	age       time.Duration // since this node started
	position  int           // this node's place among nodes, -1 if it isn't there
}

func (n *Node) rangeView(ctx context.Context) (v rangeView, err error) {
	err = n.runOnControl(ctx, func(s *controlState) {
		snap := n.snapshot.Load()
		v.row, v.hasRow = s.rows[n.cfg.Service]
		v.age = n.clock.Now().Sub(s.started)
		v.nodes, v.missing = s.serviceNodes(snap)
		v.position = slices.IndexFunc(v.nodes, func(o onceonly.Node) bool { return o.VM == n.cfg.VM })
		gone := map[string]bool{}
		for _, o := range v.row.Owners {
			gone[o.VM] = s.roster.Gone(o.VM)
		}
		v.ownerGone = func(o onceonly.Owner) bool { return gone[o.VM] }
	})
	return v, err
}

// serviceNodes returns the nodes that may own key ranges of this node's service.
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

// isTargeted tells whether any policy sends calls of the service to the VM.
func (s *controlState) isTargeted(snap *snapshot, c routing.Candidate) bool {
	if snap.plan == nil {
		return true
	}
	for _, t := range snap.plan.Treatments(s.n.cfg.Service) {
		if t.Takes(c.Labels) {
			return true
		}
	}
	return false
}

// reconcileRanges makes sure that every key range has an owner that is there, and that this node owns a fair share.
func (n *Node) reconcileRanges(ctx context.Context) {
	v, err := n.rangeView(ctx)
	if err != nil || n.snapshot.Load().plan == nil {
		return
	}
	switch {
	case !v.hasRow:
		n.createRow(ctx, v)
	case n.reclaimRanges(ctx, v):
	case n.moveLostRanges(ctx, v):
	default:
		n.handOverSurplus(ctx, v)
	}
}

func (n *Node) createRow(ctx context.Context, v rangeView) {
	if v.position != 0 || (v.missing > 0 && v.age < firstRowMaxWait) {
		return
	}
	n.commitAndAdoptRow(ctx, onceonly.NewRow(n.cfg.Service, v.nodes), "first dealt out")
}

// reclaimRanges takes this VM's ranges over from the last life of its node, whose memory is lost.
func (n *Node) reclaimRanges(ctx context.Context, v rangeView) bool {
	row, moved := v.row.Reclaim(onceonly.Node{VM: n.cfg.VM, Incarnation: n.incarnation})
	if moved {
		n.commitAndAdoptRow(ctx, row, "reclaimed after a restart")
	}
	return moved
}

// moveLostRanges gives away the ranges of owners whose VMs are gone. The first node by name goes first, the
// others wait for their turn, so that they don't race each other for nothing.
func (n *Node) moveLostRanges(ctx context.Context, v rangeView) bool {
	if v.position < 0 {
		return false
	}
	row, moved := v.row.MoveLost(v.ownerGone, v.nodes)
	if !moved {
		return false
	}
	if !clock.Sleep(ctx, time.Duration(v.position)*moveLostDelay) && v.position > 0 {
		return true
	}
	n.commitAndAdoptRow(ctx, row, "moved from VMs that are gone")
	return true
}

// commitAndAdoptRow commits a row and takes whatever the table holds afterwards.
func (n *Node) commitAndAdoptRow(ctx context.Context, row onceonly.Row, why string) bool {
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

func (n *Node) adoptRow(ctx context.Context, row onceonly.Row) error {
	return n.runOnControl(ctx, func(s *controlState) { s.merge(exchange{Rows: []onceonly.Row{row}}) })
}

// surplusSlack is how many ranges above its fair share a node keeps, so that they don't wander.
const surplusSlack = 2

// handOverSurplus gives away what this node owns and shouldn't: all where no policy targets it, else what is above its share.
func (n *Node) handOverSurplus(ctx context.Context, v rangeView) {
	mine := v.row.OwnedBy(n.cfg.VM, n.incarnation)
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

// handOverRanges gives ranges to the nodes that own the fewest; it reports whether every one was taken.
func (n *Node) handOverRanges(ctx context.Context, row onceonly.Row, ranges []int, nodes []onceonly.Node) bool {
	all := true
	for to, part := range row.Spread(ranges, nodes) {
		if err := n.handOverTo(ctx, part, to); err != nil {
			n.log.once.Warn("key ranges can't be handed over", "to", to.VM, "err", err)
			all = false
		}
	}
	return all
}

// handOverTo closes ranges, sends their memory to the next owner and then changes the row. Until the row
// is known to have changed, this node stays the owner, and while that is unknown the ranges stay closed.
func (n *Node) handOverTo(ctx context.Context, ranges []int, to onceonly.Node) error {
	vm, ok := n.snapshot.Load().vms[to.VM]
	if !ok {
		return &HandoverError{to.VM + " isn't listed"}
	}
	n.home.with(func(h *onceonly.Home) { h.Close(ranges) })
	n.awaitRuns(ctx, ranges)
	me := onceonly.Owner{VM: n.cfg.VM, Incarnation: n.incarnation}
	next := onceonly.Owner{VM: to.VM, Incarnation: to.Incarnation}
	msg := onceonly.Handover{Service: n.cfg.Service, From: me, To: next, Ranges: ranges}
	var row onceonly.Row
	n.home.with(func(h *onceonly.Home) {
		msg = h.Memory.Export(n.clock.Now(), msg)
		row = h.Row()
	})
	cctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	var reply handoverReply
	err := n.peers.control(cctx, to.VM, vm.Peer, pathHandover, msg, &reply)
	cancel()
	if err != nil {
		n.home.with(func(h *onceonly.Home) { h.Reopen(ranges) })
		return err
	}
	changed, ok := row.HandOver(ranges, me, next)
	if !ok {
		return &HandoverError{"the ranges have another owner by now"}
	}
	return n.commitHandover(ctx, changed, ranges)
}

// commitHandover commits the changed row and tries until it is known what the table holds. Only a
// commit that certainly had no effect, with none in doubt before it, opens the ranges here again.
func (n *Node) commitHandover(ctx context.Context, changed onceonly.Row, ranges []int) error {
	doubt := false
	for {
		have, err := n.commitRow(ctx, changed)
		if err == nil {
			return n.finishHandover(ctx, have, changed, ranges)
		}
		var refused *store.RefusedError
		if !errors.As(err, &refused) {
			doubt = true
		}
		if !doubt {
			n.home.with(func(h *onceonly.Home) { h.Reopen(ranges) })
			return fmt.Errorf("row of %s: %w", changed.Service, err)
		}
		if !clock.Sleep(ctx, platformRetryPause) {
			return ctx.Err()
		}
	}
}

func (n *Node) finishHandover(ctx context.Context, have, changed onceonly.Row, ranges []int) error {
	if err := n.adoptRow(ctx, have); err != nil {
		return err
	}
	n.home.with(func(h *onceonly.Home) { h.Reopen(ranges) })
	if have != changed {
		return &HandoverError{"another change of the row came first"}
	}
	n.log.once.Info("key ranges handed over", "ranges", len(ranges), "version", changed.Version)
	return nil
}

// awaitRuns waits until nothing runs in the ranges.
func (n *Node) awaitRuns(ctx context.Context, ranges []int) {
	end := n.clock.Now().Add(rangeCloseTimeout)
	for {
		running := 0
		n.home.with(func(h *onceonly.Home) { running = h.Memory.RunningIn(ranges) })
		if running == 0 || !n.sleep(ctx, 10*time.Millisecond, end) {
			return
		}
	}
}
