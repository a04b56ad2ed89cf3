package mesh

import (
	"math/rand/v2"
	"net"
)

// talkTarget is a peer to exchange with; the zone of a seed isn't known.
type talkTarget struct{ host, zone string }

// reach says in which availability zones peers are looked for.
type reach uint8

const (
	anywhere reach = iota
	nearOnly       // in the own zone
	farOnly        // in the others
)

// covers tells whether a zone is looked at.
func (w reach) covers(near bool) bool { return w == anywhere || (w == nearOnly) == near }

// talkTargets returns peers taken at random, and seeds while few others are known.
func (n *Node) talkTargets(fanout int, where reach) []talkTarget {
	targets := n.knownTargets(where)
	if len(targets) < fanout {
		for _, h := range n.seedHosts() {
			targets = append(targets, talkTarget{host: h})
		}
	}
	return someOf(targets, fanout)
}

// knownTargets returns all peers that are known.
func (n *Node) knownTargets(where reach) []talkTarget {
	var targets []talkTarget
	for _, r := range n.control.directory.All() {
		if r.Host != n.ip && where.covers(r.Zone == n.cfg.Zone) {
			targets = append(targets, talkTarget{r.Host, r.Zone})
		}
	}
	return targets
}

// someOf returns so many of the targets, taken at random.
func someOf(targets []talkTarget, most int) []talkTarget {
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(most, len(targets))]
}

// seedHosts returns the seeds of the settings but this node.
func (n *Node) seedHosts() []string {
	var hosts []string
	for _, s := range n.cfg.Seeds {
		if h, _, err := net.SplitHostPort(s); err == nil && h != n.ip {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
