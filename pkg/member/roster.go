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

// The labels that every VM has besides its own.
const (
	LabelZone    = "zone"
	LabelService = "service"
	LabelVM      = "vm"
)

// AllLabels returns the VM's labels with its zone, service and name, and the operators' labels on top.
func (v VM) AllLabels(byOperators map[string]string) labels.Set {
	set := labels.Set{}
	maps.Copy(set, v.Labels)
	maps.Copy(set, byOperators)
	set[LabelZone] = v.Zone
	set[LabelService] = v.Service
	set[LabelVM] = v.Name
	return set
}

// NodeInfo is what a node says of itself.
type NodeInfo struct {
	VM          string `json:"vm"`
	Incarnation string `json:"inc"`         // sorts by start time
	Leaving     bool   `json:"l,omitempty"` // never taken back within one life
}

// implausibleShare is the share of known VMs that a list may lose at once and still be believed.
const implausibleShare = 0.5

// goneAfter is how many good lists in a row must miss a VM before it counts as gone.
const goneAfter = 2

// Roster is one daemon's knowledge of VMs and nodes; its zero value is empty. It isn't safe for concurrent use.
type Roster struct {
	vms     map[string]VM
	missing map[string]int
	gone    map[string]bool
	nodes   map[string]NodeInfo
	doubts  int
	changes int
}

// Refresh takes a list of the platform; it reports false for one that looks implausible and was set aside.
// The same implausible list three times in a row is believed.
func (r *Roster) Refresh(list []VM) bool {
	next := make(map[string]VM, len(list))
	for _, v := range list {
		next[v.Name] = v
	}
	lost := 0
	for name := range r.vms {
		if _, ok := next[name]; !ok {
			lost++
		}
	}
	if len(r.vms) > 2 && float64(lost) > implausibleShare*float64(len(r.vms)) {
		r.doubts++
		if r.doubts < 3 || len(list) == 0 {
			return false
		}
	}
	r.doubts = 0
	r.take(next)
	return true
}

// take keeps a VM that one list missed until a second list misses it too.
func (r *Roster) take(next map[string]VM) {
	if r.missing == nil {
		r.missing = map[string]int{}
		r.gone = map[string]bool{}
	}
	for name := range next {
		delete(r.missing, name)
		delete(r.gone, name)
	}
	for name, v := range r.vms {
		if _, ok := next[name]; ok {
			continue
		}
		r.missing[name]++
		if r.missing[name] < goneAfter {
			next[name] = v
			continue
		}
		r.gone[name] = true
		delete(r.nodes, name)
	}
	if !maps.EqualFunc(r.vms, next, VM.equal) {
		r.changes++
	}
	r.vms = next
}

func (v VM) equal(w VM) bool {
	return v.Name == w.Name && v.Service == w.Service && v.Zone == w.Zone && v.Peer == w.Peer &&
		v.Leaving == w.Leaving && maps.Equal(v.Labels, w.Labels)
}

// ChangeCount counts the lists that differed from the one before.
func (r *Roster) ChangeCount() int { return r.changes }

// HasPendingRemoval tells whether a VM was missed by a list and not yet by a second one.
func (r *Roster) HasPendingRemoval() bool {
	for _, n := range r.missing {
		if n < goneAfter {
			return true
		}
	}
	return false
}

// Removed tells whether the platform has said, in several lists, that the VM is no more.
func (r *Roster) Removed(vm string) bool {
	_, listed := r.vms[vm]
	return !listed && r.gone[vm]
}

// MergeNode takes what a node says of itself, directly or through others; it reports whether that was news.
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

// Node returns what is known of the VM's node.
func (r *Roster) Node(vm string) (NodeInfo, bool) {
	n, ok := r.nodes[vm]
	return n, ok
}

// Nodes returns all that is known of nodes, by name.
func (r *Roster) Nodes() []NodeInfo {
	return slices.SortedFunc(maps.Values(r.nodes), func(a, b NodeInfo) int { return strings.Compare(a.VM, b.VM) })
}

// Digest sums up all that is known of nodes: equal digests mean equal knowledge.
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

// VMs returns the VMs that are there, by name.
func (r *Roster) VMs() []VM {
	return slices.SortedFunc(maps.Values(r.vms), func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
}

// VM returns the VM of that name.
func (r *Roster) VM(name string) (VM, bool) {
	v, ok := r.vms[name]
	return v, ok
}

// Leaving tells whether the VM is to take no new work, by the platform's word or its node's.
func (r *Roster) Leaving(name string) bool {
	return r.vms[name].Leaving || r.nodes[name].Leaving
}
