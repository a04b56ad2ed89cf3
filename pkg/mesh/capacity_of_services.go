package mesh

import "github.com/rockspoke/rockspoke/pkg/loads"

// capacity returns the slots of each service that its gates fill. Work that a server refuses takes no slot, so a
// server that refuses a part of it counts in full. One to which more comes than it can take counts for less.
func (n *Node) capacity() map[string]float64 {
	c := map[string]float64{}
	for service, peers := range n.view.Load().services {
		c[service] = 0 // one whose servers can't be reached has no room; that isn't the same as not being known
		near, far := n.splitByZone(peers)
		for _, p := range near {
			if room, known := n.usableSlotsOf(p); known {
				c[service] += room
			}
		}
		for zone, peers := range far {
			c[service] += n.control.zones[zone].usableSlots(service, peers)
		}
	}
	return c
}

// splitByZone returns the peers of this availability zone, and those of each other one.
func (n *Node) splitByZone(peers []*peer) (near []*peer, far map[string][]*peer) {
	far = map[string][]*peer{}
	for _, p := range peers {
		if zone := p.inZone(); zone == n.cfg.Zone {
			near = append(near, p)
		} else {
			far[zone] = append(far[zone], p)
		}
	}
	return near, far
}

// usableSlotsOf returns the slots of a server of this zone: as its node reports, or else all of them while it can be
// reached. It isn't known for one that neither reports nor can be reached.
func (n *Node) usableSlotsOf(p *peer) (room float64, known bool) {
	if r := n.control.reports[p.host]; r != nil && (r.Room > 0 || r.Away) {
		return r.Room, true
	}
	return float64(p.slots.Load()), p.reachable()
}

// usableSlots returns the slots of a service's servers in the zone: as many as have reported count by the sum, the
// others by their slots where they can be reached. A zone that was heard once and isn't any more has none.
func (z *zoneLoad) usableSlots(service string, peers []*peer) float64 {
	if z != nil && len(z.services) == 0 {
		return 0
	}
	sum := z.serviceSum(service)
	left := len(peers)
	room := 0.0
	if sum.Nodes > 0 {
		known := min(left, sum.Nodes)
		room += sum.Load.Room * float64(known) / float64(sum.Nodes)
		left -= known
	}
	if left == 0 {
		return room
	}
	return room + reachableSlots(peers)*float64(left)/float64(len(peers))
}

// reachableSlots returns the slots of the peers that can be reached.
func reachableSlots(peers []*peer) float64 {
	slots := 0.0
	for _, p := range peers {
		if p.reachable() {
			slots += float64(p.slots.Load())
		}
	}
	return slots
}

// serviceSum returns the sum of one serviceSum; a zone that told nothing has none.
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
