package member

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/labels"
)

// VM is one entry of the platform's list.
type VM struct {
	Name    string            `json:"name" yaml:"name"`
	Service string            `json:"service,omitempty" yaml:"service,omitempty"` // empty for an entry VM
	Zone    string            `json:"zone" yaml:"zone"`
	Peer    string            `json:"peer" yaml:"peer"` // IP and port of the node's peer listener
	Labels  map[string]string `json:"labels,omitempty" yaml:"labels,omitempty"`
	Leaving bool              `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// The labels that every VM has in addition to its own.
const (
	LabelZone    = "zone"
	LabelService = "service"
	LabelVM      = "vm"
)

// AllLabels returns the VM's labels, overridden by the operators' labels, and these by its zone, service and name.
func (v VM) AllLabels(byOperators map[string]string) labels.Set {
	set := labels.Set{}
	maps.Copy(set, v.Labels)
	maps.Copy(set, byOperators)
	set[LabelZone] = v.Zone
	set[LabelService] = v.Service
	set[LabelVM] = v.Name
	return set
}

// NodeInfo is a node's report of its own state.
type NodeInfo struct {
	VM          string `json:"vm"`
	Incarnation string `json:"inc"`         // sorts by start time
	Leaving     bool   `json:"l,omitempty"` // never reset within one incarnation
}

// maxPlausibleLoss is the largest share of the known VMs that a plausible list may lack.
const maxPlausibleLoss = 0.5

// removeAfterMisses is how many accepted lists in a row must lack a VM before it is removed.
const removeAfterMisses = 2

// Roster holds the VMs and nodes that one daemon knows; its zero value is empty. It isn't safe for concurrent use.
type Roster struct {
	vms              map[string]VM
	missedLists      map[string]int
	removed          map[string]bool
	nodes            map[string]NodeInfo
	implausibleLists int
	changes          int
}

// Refresh applies a list of the platform's VMs, and reports false for one that it rejects as implausible because it lacks too many known
// VMs. From the third implausible list in a row on, a list is accepted unless it is empty.
func (r *Roster) Refresh(list []VM) bool {
	next := make(map[string]VM, len(list))
	for _, v := range list {
		next[v.Name] = v
	}
	missed := 0
	for name := range r.vms {
		if _, ok := next[name]; !ok {
			missed++
		}
	}
	if len(r.vms) > 2 && float64(missed) > maxPlausibleLoss*float64(len(r.vms)) {
		r.implausibleLists++
		if r.implausibleLists < 3 || len(list) == 0 {
			return false
		}
	}
	r.implausibleLists = 0
	r.apply(next)
	return true
}

// apply replaces the VMs by those of a list; a VM that the list lacks is retained until removeAfterMisses lists lack it.
func (r *Roster) apply(next map[string]VM) {
	if r.missedLists == nil {
		r.missedLists = map[string]int{}
		r.removed = map[string]bool{}
	}
	for name := range next {
		delete(r.missedLists, name)
		delete(r.removed, name)
	}
	for name, v := range r.vms {
		if _, ok := next[name]; ok {
			continue
		}
		r.missedLists[name]++
		if r.missedLists[name] < removeAfterMisses {
			next[name] = v
			continue
		}
		r.removed[name] = true
		delete(r.nodes, name)
	}
	if !maps.EqualFunc(r.vms, next, VM.equal) {
		r.changes++
	}
	r.vms = next
}

// equal reports whether the VMs are the same in all fields.
func (v VM) equal(w VM) bool {
	return v.Name == w.Name && v.Service == w.Service && v.Zone == w.Zone && v.Peer == w.Peer &&
		v.Leaving == w.Leaving && maps.Equal(v.Labels, w.Labels)
}

// ChangeCount returns how many lists changed the VMs.
func (r *Roster) ChangeCount() int { return r.changes }

// HasPendingRemoval reports whether a VM is missing from the last list and not removed yet.
func (r *Roster) HasPendingRemoval() bool {
	for _, n := range r.missedLists {
		if n < removeAfterMisses {
			return true
		}
	}
	return false
}

// Removed reports whether the VM was removed because several lists in a row lacked it; it is false for a VM that was never listed.
func (r *Roster) Removed(vm string) bool {
	_, listed := r.vms[vm]
	return !listed && r.removed[vm]
}

// MergeNode merges a node's report, received from it or from others, and reports whether it was newer than the one held.
func (r *Roster) MergeNode(n NodeInfo) bool {
	if r.nodes == nil {
		r.nodes = map[string]NodeInfo{}
	}
	old, ok := r.nodes[n.VM]
	switch {
	case !ok || n.Incarnation > old.Incarnation:
		r.nodes[n.VM] = n
		return true
	case n.Incarnation == old.Incarnation && n.Leaving && !old.Leaving:
		r.nodes[n.VM] = n
		return true
	default:
		return false
	}
}

// Node returns the newest report of the VM's node, and false if there is none.
func (r *Roster) Node(vm string) (NodeInfo, bool) {
	n, ok := r.nodes[vm]
	return n, ok
}

// Nodes returns the newest reports of all nodes, in order of VM name.
func (r *Roster) Nodes() []NodeInfo {
	return slices.SortedFunc(maps.Values(r.nodes), func(a, b NodeInfo) int { return strings.Compare(a.VM, b.VM) })
}

// Digest returns a hash of all nodes' reports: rosters with the same digest hold the same reports.
func (r *Roster) Digest() uint64 {
	h := fnv.New64a()
	for _, n := range r.Nodes() {
		h.Write([]byte(n.VM))
		h.Write([]byte{0})
		h.Write([]byte(n.Incarnation))
		if n.Leaving {
			h.Write([]byte{1})
		}
	}
	return h.Sum64()
}

// VMs returns the current VMs in order of name.
func (r *Roster) VMs() []VM {
	return slices.SortedFunc(maps.Values(r.vms), func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
}

// VM returns the VM of that name, and false if there is none.
func (r *Roster) VM(name string) (VM, bool) {
	v, ok := r.vms[name]
	return v, ok
}

// Leaving reports whether the VM accepts no new requests, according to the platform or its node.
func (r *Roster) Leaving(name string) bool {
	return r.vms[name].Leaving || r.nodes[name].Leaving
}
