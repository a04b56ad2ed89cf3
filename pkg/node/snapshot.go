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
	plan         *config.Plan
	doc          *config.Document
	candidates   []routing.Candidate
	vms          map[string]member.VM
	nodes        map[string]member.NodeInfo
	rows         map[string]onceonly.Row
	neighbors    []member.VM
	localTargets map[*config.Treatment]bool

	groups sync.Map // *config.Treatment to []routing.Group, worked out at first use
}

func (s *snapshot) version() int64 {
	if s.plan == nil {
		return 0
	}
	return s.plan.Version
}

// groupsOf returns the servers that the treatment's targets pick, worked out at first use.
func (s *snapshot) groupsOf(choice routing.Choice, pool *routing.Pool, t *config.Treatment) []routing.Group {
	if g, ok := s.groups.Load(t); ok {
		return g.([]routing.Group)
	}
	g, _ := s.groups.LoadOrStore(t, choice.Groups(pool, t, s.candidates))
	return g.([]routing.Group)
}

func (n *Node) choice() routing.Choice {
	return routing.Choice{Self: n.cfg.VM, Zone: n.cfg.Zone, Subset: n.cfg.Control.Subset}
}

func (n *Node) serverGroups(t *config.Treatment) []routing.Group {
	return n.snapshot.Load().groupsOf(n.choice(), &n.pool, t)
}
