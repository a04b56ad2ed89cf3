package onceonly

import "time"

// HandoverStateError reports ranges whose state at this node doesn't allow a step of their handover.
type HandoverStateError struct{ Reason string }

// Error gives the reason.
func (e *HandoverStateError) Error() string { return e.Reason }

// BeginHandover notes that the ranges are handed over to another node, which was told. This node serves them until their memory is at
// the next owner. It reports false, and notes nothing, unless the node owns all of them and hands none over yet.
func (h *Home) BeginHandover(ranges []int, to Owner) bool {
	if len(h.Idle(ranges)) < len(ranges) {
		return false
	}
	for _, r := range ranges {
		h.next[r] = to
	}
	return true
}

// EndHandover takes BeginHandover back for those of the ranges that the row still gives to this node.
func (h *Home) EndHandover(ranges []int) {
	for _, r := range ranges {
		if h.row.Owners[r].Is(h.VM, h.Incarnation) {
			h.next[r] = Owner{}
		}
	}
}

// Idle returns those of the ranges that this node owns and doesn't hand over.
func (h *Home) Idle(ranges []int) []int {
	return filterRanges(ranges, func(r int) bool { return h.Owns(r) && h.next[r] == Owner{} })
}

// Unsent returns those of the ranges that belong to the next owner by the row while their memory is still here.
func (h *Home) Unsent(ranges []int, to Owner) []int {
	return filterRanges(ranges, func(r int) bool { return h.owned[r] && h.next[r] == to && h.row.Owners[r] == to })
}

// UnsentBatches returns Unsent in parts of at most maxKeys keys each, or of one range that has more.
func (h *Home) UnsentBatches(ranges []int, to Owner, maxKeys int) [][]int {
	var batches [][]int
	size := 0
	for _, r := range h.Unsent(ranges, to) {
		keys := h.Memory.countKeys(r)
		if len(batches) == 0 || size+keys > maxKeys {
			batches = append(batches, nil)
			size = 0
		}
		last := len(batches) - 1
		batches[last] = append(batches[last], r)
		size += keys
	}
	return batches
}

// Open returns those of the ranges for which the node accepts attempts.
func (h *Home) Open(ranges []int) []int { return filterRanges(ranges, h.Owns) }

// filterRanges returns the ranges for which keep returns true.
func filterRanges(ranges []int, keep func(r int) bool) []int {
	var kept []int
	for _, r := range ranges {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// Release ends this node's being the home of ranges whose memory is at the next owner.
func (h *Home) Release(ranges []int) {
	for _, r := range ranges {
		h.release(r)
	}
}

// OwnsAny reports whether this node owns a range by the newest row, or still serves one.
func (h *Home) OwnsAny() bool {
	for r, o := range h.row.Owners {
		if h.owned[r] || o.Is(h.VM, h.Incarnation) {
			return true
		}
	}
	return false
}

// NotAnnounced returns those of the ranges that this node neither awaits nor has received by the handover.
func (h *Home) NotAnnounced(ranges []int, from Owner, id string) []int {
	a := announcement{from, id}
	return filterRanges(ranges, func(r int) bool {
		return r < 0 || r >= NumRanges || (h.previous[r] != a && h.received[r] != a)
	})
}

// Announce notes that an owner hands the ranges over to this node; the error is a *HandoverStateError if this node owns one of them.
func (h *Home) Announce(ranges []int, from Owner, id string) error {
	for _, r := range ranges {
		if r < 0 || r >= NumRanges || h.owned[r] {
			return &HandoverStateError{"a range is owned here already"}
		}
	}
	for _, r := range ranges {
		h.previous[r] = announcement{from, id}
	}
	return nil
}

// Holds reports whether the range's memory is here, whether or not the node accepts attempts for it.
func (h *Home) Holds(r int) bool { return h.owned[r] }

// AcceptsLate reports whether this node completes records of runs that were in progress when the range came. Once the memory was sent on,
// late records go to the next owner; while this node only waits for the end of such runs, they come here.
func (h *Home) AcceptsLate(r int) bool { return h.owned[r] && (!h.closing[r] || h.next[r] == Owner{}) }

// Withdraw forgets the announcements for the ranges, which are handed over without one.
func (h *Home) Withdraw(ranges []int) {
	for _, r := range ranges {
		if r >= 0 && r < NumRanges {
			h.previous[r] = announcement{}
		}
	}
}

// Previous returns the owner that still serves a range which the row gives to this node; it reports false if none does.
func (h *Home) Previous(r int) (Owner, bool) {
	if h.owned[r] || !h.row.Owners[r].Is(h.VM, h.Incarnation) {
		return Owner{}, false
	}
	return h.previous[r].from, h.previous[r] != announcement{}
}

// Receive imports the memory of ranges that were announced, and makes this node their home. What is repeated has no effect. The error is a *HandoverStateError or a *KeyHashError.
func (h *Home) Receive(now time.Time, msg Handover) error {
	a := announcement{msg.From, msg.ID}
	var missing []int
	for _, r := range msg.Ranges {
		switch {
		case r < 0 || r >= NumRanges || !h.row.Owners[r].Is(h.VM, h.Incarnation):
			return &HandoverStateError{"the row gives a range to another owner"}
		case h.received[r] == a:
			continue
		case h.owned[r] || h.previous[r] != a:
			return &HandoverStateError{"the handover of a range wasn't announced"}
		}
		missing = append(missing, r)
	}
	if len(missing) == 0 {
		return nil
	}
	msg.Ranges = missing
	if err := h.Memory.Import(now, msg); err != nil {
		return err
	}
	for _, r := range missing {
		h.open(r)
		h.received[r] = a
	}
	return nil
}

// OpenLost makes this node the home of ranges that the row gives to it while their previous owner is lost, and returns them. They start
// with a quiet window, since the memory is lost.
func (h *Home) OpenLost(now time.Time, lost func(Owner) bool) []int {
	var list []int
	for r := range h.owned {
		if o, ok := h.Previous(r); ok && lost(o) {
			h.open(r)
			h.Memory.SetQuiet(r, now.Add(h.Memory.window()))
			list = append(list, r)
		}
	}
	return list
}
