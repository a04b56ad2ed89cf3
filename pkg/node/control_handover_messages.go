package node

import (
	"context"
	"errors"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
)

// handoverReply reports the number of records that a message of a handover carried.
type handoverReply struct {
	Taken int `json:"taken"`
}

// checkHandover returns a *HandoverError for a message that isn't meant for this incarnation of the node.
func (n *Node) checkHandover(h onceonly.Handover) error {
	switch {
	case h.Service != n.cfg.Service:
		return &HandoverError{"this node serves " + n.cfg.Service}
	case h.To != n.owner():
		return &HandoverError{"it is meant for another incarnation of this node"}
	default:
		return nil
	}
}

// handleHandover imports the memory of key ranges from an owner that changes the row afterwards; the error contains a *HandoverError.
func (n *Node) handleHandover(h onceonly.Handover) (handoverReply, error) {
	if err := n.checkHandover(h); err != nil {
		return handoverReply{}, err
	}
	if n.leaving.Load() {
		return handoverReply{}, &HandoverError{"this node is leaving"}
	}
	var err error
	n.home.with(func(home *onceonly.Home) {
		home.Withdraw(h.Ranges)
		err = home.Memory.Import(n.clock.Now(), h)
	})
	return n.handoverResult(h, err)
}

// handleAnnounce notes that key ranges will be handed over to this node; the error contains a *HandoverError.
func (n *Node) handleAnnounce(h onceonly.Handover) (handoverReply, error) {
	if err := n.checkHandover(h); err != nil {
		return handoverReply{}, err
	}
	var err error
	n.home.with(func(home *onceonly.Home) {
		ranges := home.NotAnnounced(h.Ranges, h.From, h.ID)
		if len(ranges) > 0 && n.leaving.Load() {
			err = &HandoverError{"this node is leaving"}
			return
		}
		err = home.Announce(ranges, h.From, h.ID)
	})
	return handoverReply{}, err
}

// handleTransfer imports the memory of key ranges that were announced and opens them; the error contains a *HandoverError.
func (n *Node) handleTransfer(ctx context.Context, h onceonly.Handover) (handoverReply, error) {
	if err := n.checkHandover(h); err != nil {
		return handoverReply{}, err
	}
	if h.Row != nil && n.row().Version < h.Row.Version {
		if err := n.adoptRow(ctx, *h.Row); err != nil {
			return handoverReply{}, err
		}
	}
	var err error
	n.home.with(func(home *onceonly.Home) { err = home.Receive(n.clock.Now(), h) })
	return n.handoverResult(h, err)
}

// handoverResult logs the import of key ranges and returns the reply to their previous owner, or the error joined with a *HandoverError.
func (n *Node) handoverResult(h onceonly.Handover, err error) (handoverReply, error) {
	if err != nil {
		return handoverReply{}, errors.Join(&HandoverError{"the memory can't be imported"}, err)
	}
	n.log.once.Info("key range memory imported", "from", h.From.VM, "ranges", len(h.Ranges), "keys", len(h.Records))
	return handoverReply{Taken: len(h.Records)}, nil
}

// handleLateRecords completes the records of runs that were in progress when their ranges came; the error is a *HandoverError if this node
// isn't the home of their ranges.
func (n *Node) handleLateRecords(h onceonly.Handover) (handoverReply, error) {
	if err := n.checkHandover(h); err != nil {
		return handoverReply{}, err
	}
	var err error
	n.home.with(func(home *onceonly.Home) {
		for _, r := range h.Ranges {
			if !home.AcceptsLate(r) {
				err = &HandoverError{"this node isn't the home of the range"}
				return
			}
		}
		err = home.Memory.ImportLate(n.clock.Now(), h)
	})
	return handoverReply{Taken: len(h.Records)}, err
}

// sendLateRecord sends the record of a run that ended after its range had left to the range's home, until that has it, the range is back
// here, or the record has expired.
func (n *Node) sendLateRecord(ctx context.Context, key onceonly.KeyHash) {
	end := n.clock.Now().Add(n.cfg.OnceOnly.Window)
	for pause := handoverPauseMin; n.clock.Now().Before(end); pause = min(2*pause, handoverPauseMax) {
		err := n.trySendLateRecord(ctx, key)
		if err == nil {
			return
		}
		n.log.once.Debug("late record can't be sent", "err", err)
		if !clock.Sleep(ctx, n.jitter(pause)) {
			return
		}
	}
}

// errRangeInTransit reports that a range's memory is still on its way to the next owner.
var errRangeInTransit = errors.New("the range is in transit")

// trySendLateRecord sends the record once. It has nothing to send if this node is the home of the key or the record has expired. The error
// is errRangeInTransit, a *HandoverError or that of the message.
func (n *Node) trySendLateRecord(ctx context.Context, key onceonly.KeyHash) error {
	var msg onceonly.Handover
	var found, owns, inTransit bool
	n.home.with(func(h *onceonly.Home) {
		row := h.Row()
		msg = onceonly.Handover{Service: n.cfg.Service, From: n.owner(), To: row.Owners[key.Range()]}
		msg.To.Lossy = false
		owns = h.Owns(key.Range())
		inTransit = !owns && h.Holds(key.Range())
		if owns {
			h.Memory.KeepLate(key)
		}
		msg, found = h.Memory.ExportLate(n.clock.Now(), key, msg)
	})
	switch {
	case owns:
		return nil
	case !found:
		n.log.once.Warn("late record is no longer held, so the key's home won't get it", "to", msg.To.VM)
		return nil
	case inTransit || msg.To == n.owner():
		return errRangeInTransit
	}
	vm, ok := n.snapshot.Load().vms[msg.To.VM]
	if !ok {
		return &HandoverError{msg.To.VM + " isn't in the list of VMs"}
	}
	if err := n.sendHandover(ctx, vm, pathLateRecords, msg); err != nil {
		return err
	}
	n.home.with(func(h *onceonly.Home) { h.Memory.Forget(key) })
	return nil
}
