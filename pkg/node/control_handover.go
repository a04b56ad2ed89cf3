package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// The shortest and the longest pause between attempts to send memory to the next owner of its range; the pause doubles each time.
const (
	handoverPauseMin = 50 * time.Millisecond
	handoverPauseMax = time.Second
)

// announceHandover tells the next owner that ranges will be handed over to it: it doesn't serve them before it has their memory.
func (n *Node) announceHandover(ctx context.Context, vm member.VM, msg onceonly.Handover) error {
	return n.sendHandover(ctx, vm, pathAnnounce, msg)
}

// isUnknownMessage tells whether a peer doesn't know a kind of control message.
func isUnknownMessage(err error) bool {
	var c *ControlError
	return errors.As(err, &c) && c.Status == http.StatusNotFound
}

// handOverAnnounced changes the row and starts sending the memory. The error is a *HandoverError if no range changed its owner, or that of
// the commit.
func (n *Node) handOverAnnounced(ctx context.Context, vm member.VM, msg onceonly.Handover) error {
	row := n.row()
	changed, ok := row.HandOver(msg.Ranges, msg.From, msg.To)
	if !ok {
		n.home.with(func(h *onceonly.Home) { h.EndHandover(msg.Ranges) })
		return &HandoverError{"the ranges now have another owner"}
	}
	_, err := n.commitUntilKnown(ctx, changed)
	if hadNoEffect(err) {
		n.home.with(func(h *onceonly.Home) { h.EndHandover(msg.Ranges) })
	}
	if err != nil {
		return err
	}
	moved := 0
	n.home.with(func(h *onceonly.Home) {
		unsent := h.Unsent(msg.Ranges, msg.To)
		moved = len(unsent)
		h.EndHandover(msg.Ranges)
	})
	if moved == 0 {
		return &HandoverError{"another change of the row came first"}
	}
	n.log.once.Info("key ranges handed over", "ranges", moved, "version", changed.Version)
	go n.transferRanges(n.ctx, vm, msg)
	return nil
}

// commitUntilKnown commits the changed row until it is known what the table holds, adopts that and returns it. The error is that of a commit
// which certainly had no effect (hadNoEffect), or of the context.
func (n *Node) commitUntilKnown(ctx context.Context, changed onceonly.OwnerRow) (onceonly.OwnerRow, error) {
	inDoubt := false
	for {
		have, err := n.commitRow(ctx, changed)
		if err == nil {
			return have, n.adoptRow(ctx, have)
		}
		inDoubt = inDoubt || !hadNoEffect(err)
		if !inDoubt {
			return have, fmt.Errorf("row of %s: %w", changed.Service, err)
		}
		n.log.once.Warn("unknown whether key ranges changed their owner", "version", changed.Version, "err", err)
		if !clock.Sleep(ctx, platformRetryPause) {
			return have, ctx.Err()
		}
		if row := n.row(); row.Version >= changed.Version {
			return row, nil // a peer had the row
		}
	}
}

// hadNoEffect tells whether the error of a commit says that it certainly had no effect.
func hadNoEffect(err error) bool {
	var refused *store.RefusedError
	return errors.As(err, &refused)
}

// row returns the newest row of key ranges that this home applied.
func (n *Node) row() (row onceonly.OwnerRow) {
	n.home.with(func(h *onceonly.Home) { row = h.Row() })
	return row
}

// maxTransferKeys bounds the keys in one message of a handover, unless a single range has more: some megabytes, which are sent in a
// fraction of a second.
const maxTransferKeys = 10_000

// transferRanges sends the memory of ranges to their next owner, so that each is closed for one message only. It ends when all of it is
// there, or when the ranges went to yet another owner.
func (n *Node) transferRanges(ctx context.Context, vm member.VM, msg onceonly.Handover) {
	pause := handoverPauseMin
	for {
		var batches [][]int
		n.home.with(func(h *onceonly.Home) { batches = h.UnsentBatches(msg.Ranges, msg.To, maxTransferKeys) })
		if len(batches) == 0 {
			return
		}
		err := n.announceHandover(ctx, vm, msg) // with the ranges open, this finds out whether the next owner responds
		for i := 0; i < len(batches) && err == nil; i++ {
			err = n.transferBatch(ctx, vm, msg, batches[i])
		}
		if err == nil {
			continue
		}
		n.log.once.Warn("memory of key ranges can't be sent", "to", vm.Name, "err", err)
		if !clock.Sleep(ctx, n.jitter(pause)) {
			return
		}
		pause = min(2*pause, handoverPauseMax)
	}
}

// transferBatch closes ranges and sends their memory. While it is unknown whether the next owner has the memory, the ranges stay closed,
// and the next owner passes over what it has.
func (n *Node) transferBatch(ctx context.Context, vm member.VM, msg onceonly.Handover, batch []int) error {
	var reopen []int
	n.home.with(func(h *onceonly.Home) {
		msg.Ranges, msg.Live = h.Unsent(batch, msg.To), true
		reopen = h.Open(msg.Ranges)
		h.CloseRanges(msg.Ranges)
		row := h.Row()
		msg.Row = &row
		msg = h.Memory.Export(n.clock.Now(), msg)
	})
	if len(msg.Ranges) == 0 {
		return nil // they went to yet another owner
	}
	closed := n.clock.Now()
	err := n.sendHandover(ctx, vm, pathTransfer, msg)
	if err == nil {
		n.home.with(func(h *onceonly.Home) { h.Release(msg.Ranges) })
		n.logClosed(msg, closed)
		return nil
	}
	if certainlyNotHandled(err) {
		n.home.with(func(h *onceonly.Home) { h.ReopenRanges(reopen) })
	}
	return err
}

// certainlyNotHandled tells whether a control message had no effect: it wasn't sent, or the peer refused it.
func certainlyNotHandled(err error) bool {
	var dial *DialError
	var refused *ControlError
	return errors.As(err, &dial) || errors.As(err, &refused)
}

// openLostRanges opens ranges of this node, and completes records, that wait for an earlier owner which is lost with its memory; it reports
// whether there were any ranges.
func (n *Node) openLostRanges(ctx context.Context) bool {
	var opened []int
	runs := 0
	err := n.runOnControl(ctx, func(s *controlState) {
		now := n.clock.Now()
		n.home.with(func(h *onceonly.Home) {
			opened = h.OpenLost(now, s.ownerLost)
			runs = h.Memory.LoseRuns(now, s.ownerLost)
		})
	})
	if err != nil || len(opened)+runs == 0 {
		return false
	}
	n.log.once.Warn("an earlier owner of key ranges is lost with its memory", "ranges", len(opened), "runs", runs)
	return len(opened) > 0
}

// ownerLost tells whether an owner's VM is gone or its node was started anew.
func (s *controlState) ownerLost(o onceonly.Owner) bool {
	if s.roster.Removed(o.VM) {
		return true
	}
	info, ok := s.roster.Node(o.VM)
	return ok && info.Incarnation > o.Incarnation
}
