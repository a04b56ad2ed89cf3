package onceonly

import "time"

// Home holds a node's share of a service's keys: its key memory and the ranges that it owns. It isn't safe for concurrent use.
type Home struct {
	Service     string
	VM          string
	Incarnation string
	Memory      KeyMemory

	row      OwnerRow
	owned    [NumRanges]bool
	closing  [NumRanges]bool
	next     [NumRanges]Owner        // to which this node hands the range over; zero if to none
	previous [NumRanges]announcement // of the owner that hands the range over to this node; zero if none does
	received [NumRanges]announcement // by which this node opened the range; zero if by none
}

// announcement identifies a handover to this node.
type announcement struct {
	from Owner
	id   string
}

// Adopt applies a newer row, and reports false for a row that isn't newer. A range whose previous owner's memory was lost starts with a
// quiet window; the records of ranges that the node no longer owns are dropped. A range whose handover was announced changes hands when
// its memory does, not with the row.
func (h *Home) Adopt(now time.Time, row OwnerRow) bool {
	if row.Version <= h.row.Version {
		return false
	}
	for r, o := range row.Owners {
		if o.Is(h.VM, h.Incarnation) {
			h.adoptOwned(now, r, o)
		} else if h.next[r] != o {
			h.release(r)
		}
	}
	h.row = row
	return true
}

// adoptOwned opens a range that a row gives to this node, unless its previous owner still serves it.
func (h *Home) adoptOwned(now time.Time, r int, o Owner) {
	if h.owned[r] || (h.previous[r] != announcement{} && !o.Lossy) {
		return
	}
	h.open(r)
	if o.Lossy {
		h.Memory.SetQuiet(r, now.Add(h.Memory.window()))
	}
}

// open makes this node the home of the range.
func (h *Home) open(r int) {
	h.owned[r] = true
	h.closing[r] = false
	h.previous[r] = announcement{}
}

// release ends this node's being the home of the range, if it is.
func (h *Home) release(r int) {
	if !h.owned[r] {
		return
	}
	h.owned[r] = false
	h.closing[r] = false
	h.next[r] = Owner{}
	h.received[r] = announcement{}
	h.Memory.Drop([]int{r})
}

// Row returns the newest row applied.
func (h *Home) Row() OwnerRow { return h.row }

// Owns reports whether this node is the home of the range and accepts attempts for it.
func (h *Home) Owns(r int) bool { return h.owned[r] && !h.closing[r] }

// Ranges returns the ranges for which the node accepts attempts.
func (h *Home) Ranges() []int {
	var list []int
	for r := range h.owned {
		if h.Owns(r) {
			list = append(list, r)
		}
	}
	return list
}

// CloseRanges stops accepting attempts for the ranges before their handover.
func (h *Home) CloseRanges(ranges []int) {
	for _, r := range ranges {
		h.closing[r] = true
	}
}

// ReopenRanges accepts attempts for the ranges again after a handover that certainly failed.
func (h *Home) ReopenRanges(ranges []int) {
	for _, r := range ranges {
		h.closing[r] = false
	}
}
