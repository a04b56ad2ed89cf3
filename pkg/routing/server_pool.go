package routing

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
)

// DefaultMaxSubset is the default maximum of servers of one service to which a node sends calls.
const DefaultMaxSubset = 12

// Pool holds the Servers by VM name across membership changes; its zero value is empty, and it is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	servers map[string]*Server
}

// Get returns the Server of the VM. It creates a new one if the VM is unknown or has another peer address than before.
func (p *Pool) Get(v member.VM) *Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers == nil {
		p.servers = map[string]*Server{}
	}
	s, ok := p.servers[v.Name]
	if !ok || s.Peer != v.Peer {
		s = &Server{VM: v.Name, Zone: v.Zone, Peer: v.Peer}
		p.servers[v.Name] = s
	}
	return s
}

// Forget drops the state of the VM's server, because its node has restarted.
func (p *Pool) Forget(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, vm)
}

// Retain drops the Servers of all VMs for which listed returns false.
func (p *Pool) Retain(listed func(vm string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.servers {
		if !listed(name) {
			delete(p.servers, name)
		}
	}
}

// All returns the Servers, sorted by VM name.
func (p *Pool) All() []*Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*Server, 0, len(p.servers))
	for _, s := range p.servers {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Server) int { return cmp.Compare(a.VM, b.VM) })
	return all
}

// Candidate is a VM with all of its labels.
type Candidate struct {
	VM      member.VM
	Labels  labels.Set
	Leaving bool
}

// Grouper sorts the VMs of a service into Groups from the viewpoint of one node.
type Grouper struct {
	Self      string // name of the node's own VM
	Zone      string // the node's availability zone
	MaxSubset int    // most servers in a group; 0 means DefaultMaxSubset
}

// Groups returns one Group for each target of the treatment, with the VMs of its service that match the target and aren't
// leaving. Without targets all VMs are one group.
func (c Grouper) Groups(pool *Pool, t *config.Treatment, vms []Candidate) []Group {
	targets := t.Targets
	if len(targets) == 0 {
		targets = []config.CompiledTarget{{Selector: labels.Everything(), Weight: 1}}
	}
	groups := make([]Group, 0, len(targets))
	for _, target := range targets {
		var matching []Candidate
		for _, v := range vms {
			if v.VM.Service == t.Service && !v.Leaving && target.Selector.Matches(v.Labels) {
				matching = append(matching, v)
			}
		}
		groups = append(groups, c.group(pool, target.Weight, c.Subset(matching)))
	}
	return groups
}

// group returns a Group of the VMs' servers; its weight is 0 if there are none.
func (c Grouper) group(pool *Pool, weight int, matching []Candidate) Group {
	g := Group{Weight: weight}
	if len(matching) == 0 {
		g.Weight = 0
	}
	for _, v := range matching {
		s := pool.Get(v.VM)
		if v.VM.Zone == c.Zone {
			g.SameZone = append(g.SameZone, s)
		} else {
			g.OtherZones = append(g.OtherZones, s)
		}
	}
	return g
}

// Subset returns at most MaxSubset of the VMs, taken from all zones in turn. It uses rendezvous hashing, so that the subset
// changes little when VMs come and go.
func (c Grouper) Subset(matching []Candidate) []Candidate {
	maxSubset := cmp.Or(c.MaxSubset, DefaultMaxSubset)
	if len(matching) <= maxSubset {
		return matching
	}
	byZone := map[string][]Candidate{}
	for _, v := range matching {
		byZone[v.VM.Zone] = append(byZone[v.VM.Zone], v)
	}
	zones := make([]string, 0, len(byZone))
	for z, list := range byZone {
		slices.SortFunc(list, func(a, b Candidate) int { return cmp.Compare(c.score(a), c.score(b)) })
		zones = append(zones, z)
	}
	// The own zone comes first, so that it gets one place more if the zones can't have equal numbers.
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(boolInt(b == c.Zone), boolInt(a == c.Zone)), cmp.Compare(a, b))
	})
	var out []Candidate
	for k := 0; len(out) < maxSubset; k++ {
		for _, z := range zones {
			if k < len(byZone[z]) && len(out) < maxSubset {
				out = append(out, byZone[z][k])
			}
		}
	}
	return out
}

// score returns the rendezvous hash of the node's own VM and the candidate; the lowest scores are selected.
func (c Grouper) score(v Candidate) uint64 { return xxhash.Sum64String(c.Self + "\x00" + v.VM.Name) }

// boolInt returns 1 for true and 0 for false.
func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
