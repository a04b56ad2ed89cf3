package onceonly

import (
	"slices"
)

// Owner is a node in one of its lives, and how it came to own a range.
type Owner struct {
	VM          string `json:"vm"`
	Incarnation string `json:"inc"`             // changes at each start of the node
	Lossy       bool   `json:"lossy,omitempty"` // the memory of the owner before was lost
}

// Is tells whether the owner is the given node in the given life.
func (o Owner) Is(vm, incarnation string) bool { return o.VM == vm && o.Incarnation == incarnation }

// OwnerRow says who owns each key range of a service; it is one row of the platform's table.
type OwnerRow struct {
	Service string           `json:"service"`
	Version int64            `json:"version"`
	Owners  [NumRanges]Owner `json:"owners"`
}

// Node is a node that may own ranges.
type Node struct {
	VM          string
	Incarnation string
}

// NewOwnerRow deals a service's ranges out to its nodes for the first time. Nothing ran before, so nothing is lost.
func NewOwnerRow(service string, nodes []Node) OwnerRow {
	row := OwnerRow{Service: service, Version: 1}
	nodes = sortedNodes(nodes)
	for r := range row.Owners {
		n := nodes[r%len(nodes)]
		row.Owners[r] = Owner{VM: n.VM, Incarnation: n.Incarnation}
	}
	return row
}

// OwnedBy returns the ranges that the node owns in this life.
func (row *OwnerRow) OwnedBy(vm, incarnation string) []int {
	var list []int
	for r, o := range row.Owners {
		if o.Is(vm, incarnation) {
			list = append(list, r)
		}
	}
	return list
}

// ReassignLost gives the ranges of owners whose memory is gone to the given nodes, marked as lossy; it reports false if there are none.
func (row OwnerRow) ReassignLost(lost func(Owner) bool, nodes []Node) (OwnerRow, bool) {
	if len(nodes) == 0 {
		return row, false
	}
	load := row.load(nodes)
	moved := false
	for r, o := range row.Owners {
		if !lost(o) {
			continue
		}
		n := leastLoaded(nodes, load)
		load[n.VM]++
		row.Owners[r] = Owner{VM: n.VM, Incarnation: n.Incarnation, Lossy: true}
		moved = true
	}
	if moved {
		row.Version++
	}
	return row, moved
}

// Reclaim gives a restarted node its own ranges back in its new life, marked as lossy.
func (row OwnerRow) Reclaim(n Node) (OwnerRow, bool) {
	return row.ReassignLost(func(o Owner) bool { return o.VM == n.VM && o.Incarnation != n.Incarnation }, []Node{n})
}

// HandOver moves the ranges from one owner to another after the memory was taken; it reports false
// if one of them isn't owned by from any more.
func (row OwnerRow) HandOver(ranges []int, from, to Owner) (OwnerRow, bool) {
	for _, r := range ranges {
		if !row.Owners[r].Is(from.VM, from.Incarnation) {
			return row, false
		}
		row.Owners[r] = Owner{VM: to.VM, Incarnation: to.Incarnation}
	}
	row.Version++
	return row, true
}

// Distribute splits ranges over nodes so that each comes to own about the same number.
func (row *OwnerRow) Distribute(ranges []int, nodes []Node) map[Node][]int {
	out := map[Node][]int{}
	if len(nodes) == 0 {
		return out
	}
	load := row.load(nodes)
	for _, r := range ranges {
		n := leastLoaded(nodes, load)
		load[n.VM]++
		out[n] = append(out[n], r)
	}
	return out
}

func (row *OwnerRow) load(nodes []Node) map[string]int {
	load := map[string]int{}
	for _, o := range row.Owners {
		load[o.VM]++
	}
	return load
}

func leastLoaded(nodes []Node, load map[string]int) Node {
	best := nodes[0]
	for _, n := range nodes[1:] {
		if load[n.VM] < load[best.VM] || (load[n.VM] == load[best.VM] && n.VM < best.VM) {
			best = n
		}
	}
	return best
}

func sortedNodes(nodes []Node) []Node {
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b Node) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return out
}
