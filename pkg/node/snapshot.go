package node

import (
	"sync"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/routing"
)

// snapshot is the control state that calls read; it is immutable once published, but for the cache of groups.
type snapshot struct {
	plan         *config.Plan
	doc          *config.Document
	candidates   []routing.Candidate
	vms          map[string]member.VM
	nodes        map[string]member.NodeInfo
	rows         map[string]onceonly.OwnerRow
	neighbors    []member.VM
	localTargets map[*config.Treatment]bool

	groups sync.Map // *config.Treatment to []routing.Group, computed at first use
}

// version returns the configuration version in force, 0 if there is none.
func (s *snapshot) version() int64 {
	if s.plan == nil {
		return 0
	}
	return s.plan.Version
}

// groupsOf returns the servers that the treatment's targets select, computed at first use.
func (s *snapshot) groupsOf(choice routing.Grouper, pool *routing.Pool, t *config.Treatment) []routing.Group {
	if g, ok := s.groups.Load(t); ok {
		return g.([]routing.Group)
	}
	g, _ := s.groups.LoadOrStore(t, choice.Groups(pool, t, s.candidates))
	return g.([]routing.Group)
}

// choice returns this node's parameters for selecting servers.
func (n *Node) choice() routing.Grouper {
	return routing.Grouper{Self: n.cfg.VM, Zone: n.cfg.Zone, MaxSubset: n.cfg.Control.Subset}
}

// serverGroups returns the servers that the treatment's targets select now.
func (n *Node) serverGroups(t *config.Treatment) []routing.Group {
	return n.snapshot.Load().groupsOf(n.choice(), &n.pool, t)
}
