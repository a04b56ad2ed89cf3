package mesh

import (
	"net"
)

// exchangeTarget is a peer to exchange with; zone is empty for a seed.
type exchangeTarget struct{ host, zone string }

// zoneScope selects the availability zones of peers.
type zoneScope uint8

const (
	anyZone        zoneScope = iota
	localZoneOnly            // in the local zone
	otherZonesOnly           // in the others
)

// includes reports whether the scope includes the local zone (near) or the others.
func (s zoneScope) includes(near bool) bool { return s == anyZone || (s == localZoneOnly) == near }

// exchangeTargets returns up to fanout random peers, seeds included while fewer peers are known.
func (n *Node) exchangeTargets(fanout int, scope zoneScope) []exchangeTarget {
	targets := n.knownTargets(scope)
	if len(targets) < fanout {
		for _, h := range n.seedHosts() {
			targets = append(targets, exchangeTarget{host: h})
		}
	}
	return n.randomTargets(targets, fanout)
}

// knownTargets returns all known peers in the scope.
func (n *Node) knownTargets(scope zoneScope) []exchangeTarget {
	var targets []exchangeTarget
	for _, r := range n.control.directory.All() {
		if r.Host != n.ip && scope.includes(r.Zone == n.cfg.Zone) {
			targets = append(targets, exchangeTarget{r.Host, r.Zone})
		}
	}
	return targets
}

// randomTargets shuffles the targets in place and returns up to count of them.
func (n *Node) randomTargets(targets []exchangeTarget, count int) []exchangeTarget {
	n.rnd().Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(count, len(targets))]
}

// seedHosts returns the hosts of the configured seeds, without this node.
func (n *Node) seedHosts() []string {
	var hosts []string
	for _, s := range n.cfg.Seeds {
		if h, _, err := net.SplitHostPort(s); err == nil && h != n.ip {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
