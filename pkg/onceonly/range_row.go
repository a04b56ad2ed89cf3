package onceonly

import (
	"slices"
)

// Owner is the owner of a range: a node in one incarnation.
type Owner struct {
	VM          string `json:"vm"`
	Incarnation string `json:"inc"`             // changes with each start of the node
	Lossy       bool   `json:"lossy,omitempty"` // the previous owner's key memory was lost
}

// Is reports whether the owner is the given node in the given incarnation.
func (o Owner) Is(vm, incarnation string) bool { return o.VM == vm && o.Incarnation == incarnation }

// OwnerRow names the owner of each key range of a service; it is one row of the platform's table.
type OwnerRow struct {
	Service string           `json:"service"`
	Version int64            `json:"version"`
	Owners  [NumRanges]Owner `json:"owners"`
}

// Node is a candidate owner of ranges, in its present incarnation.
type Node struct {
	VM          string
	Incarnation string
}

// NewOwnerRow returns a service's first row, with the ranges spread evenly over the nodes. No key has run yet, so no memory is lost.
func NewOwnerRow(service string, nodes []Node) OwnerRow {
	row := OwnerRow{Service: service, Version: 1}
	nodes = sortedNodes(nodes)
	for r := range row.Owners {
		n := nodes[r%len(nodes)]
		row.Owners[r] = Owner{VM: n.VM, Incarnation: n.Incarnation}
	}
	return row
}

// OwnedBy returns the ranges that the node owns in the given incarnation.
func (row *OwnerRow) OwnedBy(vm, incarnation string) []int {
	var list []int
	for r, o := range row.Owners {
		if o.Is(vm, incarnation) {
			list = append(list, r)
		}
	}
	return list
}

// ReassignLost returns the row with the ranges of owners for which lost is true given to the given nodes and marked as lossy; it reports false
// if no range moved.
func (row OwnerRow) ReassignLost(lost func(Owner) bool, nodes []Node) (OwnerRow, bool) {
	if len(nodes) == 0 {
		return row, false
	}
	owned := row.rangesPerVM(nodes)
	moved := false
	for r, o := range row.Owners {
		if !lost(o) {
			continue
		}
		n := leastLoaded(nodes, owned)
		owned[n.VM]++
		row.Owners[r] = Owner{VM: n.VM, Incarnation: n.Incarnation, Lossy: true}
		moved = true
	}
	if moved {
		row.Version++
	}
	return row, moved
}

// Reclaim gives a restarted node its own ranges back in its new incarnation, marked as lossy; it reports false if there are none.
func (row OwnerRow) Reclaim(n Node) (OwnerRow, bool) {
	return row.ReassignLost(func(o Owner) bool { return o.VM == n.VM && o.Incarnation != n.Incarnation }, []Node{n})
}

// HandOver returns the row with the ranges moved from one owner to another after the key memory was imported; it reports false if from
// no longer owns one of them.
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

// Distribute assigns the ranges to nodes so that each node owns about the same number in the end.
func (row *OwnerRow) Distribute(ranges []int, nodes []Node) map[Node][]int {
	out := map[Node][]int{}
	if len(nodes) == 0 {
		return out
	}
	owned := row.rangesPerVM(nodes)
	for _, r := range ranges {
		n := leastLoaded(nodes, owned)
		owned[n.VM]++
		out[n] = append(out[n], r)
	}
	return out
}

// rangesPerVM returns the number of ranges that each VM owns; it is 0 for a VM that owns none.
func (row *OwnerRow) rangesPerVM(nodes []Node) map[string]int {
	owned := map[string]int{}
	for _, o := range row.Owners {
		owned[o.VM]++
	}
	return owned
}

// leastLoaded returns the node that owns the fewest ranges, the first by name among equals.
func leastLoaded(nodes []Node, owned map[string]int) Node {
	best := nodes[0]
	for _, n := range nodes[1:] {
		if owned[n.VM] < owned[best.VM] || (owned[n.VM] == owned[best.VM] && n.VM < best.VM) {
			best = n
		}
	}
	return best
}

// sortedNodes returns the nodes in order of VM name.
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
