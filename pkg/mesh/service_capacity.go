package mesh

import "github.com/rockspoke/rockspoke/pkg/loads"

// capacity returns the usable slots of each service. A request that a server rejects takes no slot, so a server that
// rejects a part of its requests counts in full. A server that receives more than it can process counts for less.
func (n *Node) capacity() map[string]float64 {
	c := map[string]float64{}
	for service, peers := range n.view.Load().services {
		c[service] = 0 // a service whose servers can't be reached is known and has no usable slots
		near, far := n.splitByZone(peers)
		for _, p := range near {
			if slots, known := n.usableSlotsOf(p); known {
				c[service] += slots
			}
		}
		for zone, peers := range far {
			c[service] += n.control.zoneLoads[zone].usableSlots(service, peers)
		}
	}
	return c
}

// splitByZone returns the peers of this availability zone, and those of the other zones by zone.
func (n *Node) splitByZone(peers []*peer) (near []*peer, far map[string][]*peer) {
	far = map[string][]*peer{}
	for _, p := range peers {
		if zone := p.serverZone(); zone == n.cfg.Zone {
			near = append(near, p)
		} else {
			far[zone] = append(far[zone], p)
		}
	}
	return near, far
}

// usableSlotsOf returns the usable slots of a server of this zone: as its node reports, or else all of its slots while it
// can be reached. known is false if the node doesn't report and the peer can't be reached.
func (n *Node) usableSlotsOf(p *peer) (slots float64, known bool) {
	if r := n.control.reports[p.host]; r != nil && (r.UsableSlots > 0 || r.NotListening) {
		return r.UsableSlots, true
	}
	return float64(p.slots.Load()), p.reachable()
}

// usableSlots returns the usable slots of a service's servers in the zone: the nodes that the zone's sum includes count by
// that sum, the others by the slots of reachable peers. A zone whose sum has expired has none.
func (z *zoneLoad) usableSlots(service string, peers []*peer) float64 {
	if z != nil && len(z.services) == 0 {
		return 0
	}
	sum := z.serviceSum(service)
	unreported := len(peers)
	slots := 0.0
	if sum.Nodes > 0 {
		reported := min(unreported, sum.Nodes)
		slots += sum.Load.UsableSlots * float64(reported) / float64(sum.Nodes)
		unreported -= reported
	}
	if unreported == 0 {
		return slots
	}
	return slots + reachableSlots(peers)*float64(unreported)/float64(len(peers))
}

// reachableSlots returns the total slots of the peers that can be reached.
func reachableSlots(peers []*peer) float64 {
	slots := 0.0
	for _, p := range peers {
		if p.reachable() {
			slots += float64(p.slots.Load())
		}
	}
	return slots
}

// serviceSum returns the zone's sum for one service, or the zero value if the zone reported none.
func (z *zoneLoad) serviceSum(name string) loads.ServiceSum {
	if z != nil {
		for _, s := range z.services {
			if s.Load.Service == name {
				return s
			}
		}
	}
	return loads.ServiceSum{}
}
