package onceonly

import "time"

// Home is a node's part in a service's keys: its memory and the ranges it owns. It isn't safe for concurrent use.
type Home struct {
	Service     string
	VM          string
	Incarnation string
	Memory      KeyMemory

	row     OwnerRow
	open    [NumRanges]bool
	closing [NumRanges]bool
}

// Adopt takes a newer row; it reports false for one that isn't newer. A range that came without
// its memory starts with a quiet window.
func (h *Home) Adopt(now time.Time, row OwnerRow) bool {
	if row.Version <= h.row.Version {
		return false
	}
	for r, o := range row.Owners {
		mine := o.Is(h.VM, h.Incarnation)
		switch {
		case mine && !h.open[r]:
			h.open[r] = true
			h.closing[r] = false
			if o.Lossy {
				h.Memory.SetQuiet(r, now.Add(h.Memory.window()))
			}
		case !mine && h.open[r]:
			h.open[r] = false
			h.closing[r] = false
			h.Memory.Drop([]int{r})
		}
	}
	h.row = row
	return true
}

// Row returns the newest row taken.
func (h *Home) Row() OwnerRow { return h.row }

// Owns tells whether this node is the home of the range and may take attempts for it.
func (h *Home) Owns(r int) bool { return h.open[r] && !h.closing[r] }

// Ranges returns the ranges that are owned and not closing.
func (h *Home) Ranges() []int {
	var list []int
	for r := range h.open {
		if h.Owns(r) {
			list = append(list, r)
		}
	}
	return list
}

// CloseRanges stops new attempts for the ranges ahead of their hand-over.
func (h *Home) CloseRanges(ranges []int) {
	for _, r := range ranges {
		h.closing[r] = true
	}
}

// ReopenRanges takes attempts again after a hand-over that certainly failed.
func (h *Home) ReopenRanges(ranges []int) {
	for _, r := range ranges {
		h.closing[r] = false
	}
}
