package node

import (
	"sync"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/routing"
)

// snapshot is the control state as calls see it; it never changes after it is published.
type snapshot struct {
	plan       *config.Plan
	doc        *config.Document
	candidates []routing.Candidate
	vms        map[string]member.VM
	nodes      map[string]member.NodeInfo
	rows       map[string]onceonly.Row
	neighbors  []member.VM
	selfTarget map[*config.Treatment]bool

	mu     sync.Mutex
	groups map[*config.Treatment][]routing.Group
}

func (s *snapshot) version() int64 {
	if s.plan == nil {
		return 0
	}
	return s.plan.Version
}

// groupsOf returns the servers that the treatment's targets pick, worked out at first use.
func (s *snapshot) groupsOf(choice routing.Choice, pool *routing.Pool, t *config.Treatment) []routing.Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups[t]; ok {
		return g
	}
	if s.groups == nil {
		s.groups = map[*config.Treatment][]routing.Group{}
	}
	g := choice.Groups(pool, t, s.candidates)
	s.groups[t] = g
	return g
}

func (n *Node) choice() routing.Choice {
	return routing.Choice{Self: n.cfg.VM, Zone: n.cfg.Zone, Subset: n.cfg.Control.Subset}
}

func (n *Node) groups(t *config.Treatment) []routing.Group {
	return n.snapshot.Load().groupsOf(n.choice(), &n.pool, t)
}
