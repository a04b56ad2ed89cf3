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

// DefaultMaxSubset is the most servers of one service that a daemon talks to.
const DefaultMaxSubset = 12

// Pool holds the Servers by VM over changes of members; its zero value is empty.
type Pool struct {
	mu      sync.Mutex
	servers map[string]*Server
}

// Get returns the Server of the VM, made new if the VM is met for the first time or came back at another address.
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

// Forget forgets what was seen of the VM, whose node has started anew.
func (p *Pool) Forget(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, vm)
}

// Retain drops the Servers of VMs that aren't listed.
func (p *Pool) Retain(listed func(vm string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.servers {
		if !listed(name) {
			delete(p.servers, name)
		}
	}
}

// All returns the Servers by name.
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

// Grouper says whose servers are grouped, and for whom.
type Grouper struct {
	Self      string // name of the daemon's own VM
	Zone      string // its availability zone
	MaxSubset int    // most servers in a group; 0 means DefaultSubset
}

// Groups sorts a service's VMs into the targets of its treatment. Without targets all VMs are one group.
func (c Grouper) Groups(pool *Pool, t *config.Treatment, vms []Candidate) []Group {
	targets := t.Targets
	if len(targets) == 0 {
		targets = []config.CompiledTarget{{Selector: labels.Everything(), Weight: 1}}
	}
	groups := make([]Group, 0, len(targets))
	for _, target := range targets {
		var in []Candidate
		for _, v := range vms {
			if v.VM.Service == t.Service && !v.Leaving && target.Selector.Matches(v.Labels) {
				in = append(in, v)
			}
		}
		groups = append(groups, c.group(pool, target.Weight, c.Subset(in)))
	}
	return groups
}

func (c Grouper) group(pool *Pool, weight int, in []Candidate) Group {
	g := Group{Weight: weight}
	if len(in) == 0 {
		g.Weight = 0
	}
	for _, v := range in {
		s := pool.Get(v.VM)
		if v.VM.Zone == c.Zone {
			g.SameZone = append(g.SameZone, s)
		} else {
			g.OtherZones = append(g.OtherZones, s)
		}
	}
	return g
}

// Subset keeps a bounded number of VMs: the same ones as long as they are there, and some of every zone.
func (c Grouper) Subset(in []Candidate) []Candidate {
	most := cmp.Or(c.MaxSubset, DefaultMaxSubset)
	if len(in) <= most {
		return in
	}
	byZone := map[string][]Candidate{}
	for _, v := range in {
		byZone[v.VM.Zone] = append(byZone[v.VM.Zone], v)
	}
	zones := make([]string, 0, len(byZone))
	for z, list := range byZone {
		slices.SortFunc(list, func(a, b Candidate) int { return cmp.Compare(c.score(a), c.score(b)) })
		zones = append(zones, z)
	}
	// The own zone goes first, so that it gets the odd places.
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(boolInt(b == c.Zone), boolInt(a == c.Zone)), cmp.Compare(a, b))
	})
	var out []Candidate
	for k := 0; len(out) < most; k++ {
		for _, z := range zones {
			if k < len(byZone[z]) && len(out) < most {
				out = append(out, byZone[z][k])
			}
		}
	}
	return out
}

func (c Grouper) score(v Candidate) uint64 { return xxhash.Sum64String(c.Self + "\x00" + v.VM.Name) }

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
