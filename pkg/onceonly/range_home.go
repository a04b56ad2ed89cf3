package onceonly

import "time"

// Home holds a node's share of a service's keys: its key memory and the ranges that it owns. It isn't safe for concurrent use.
type Home struct {
	Service     string
	VM          string
	Incarnation string
	Memory      KeyMemory

	row     OwnerRow
	owned   [NumRanges]bool
	closing [NumRanges]bool
}

// Adopt applies a newer row, and reports false for a row that isn't newer. A range whose previous owner's memory was lost starts with a
// quiet window; the records of ranges that the node no longer owns are dropped.
func (h *Home) Adopt(now time.Time, row OwnerRow) bool {
	if row.Version <= h.row.Version {
		return false
	}
	for r, o := range row.Owners {
		mine := o.Is(h.VM, h.Incarnation)
		switch {
		case mine && !h.owned[r]:
			h.owned[r] = true
			h.closing[r] = false
			if o.Lossy {
				h.Memory.SetQuiet(r, now.Add(h.Memory.window()))
			}
		case !mine && h.owned[r]:
			h.owned[r] = false
			h.closing[r] = false
			h.Memory.Drop([]int{r})
		}
	}
	h.row = row
	return true
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
