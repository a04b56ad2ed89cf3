package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// zoneLoad is what the nodes of one availability zone report, added up by service. Any node of that zone
// may add it up; the newest counts. It keeps messages between zones, and what they grow with, small.
type zoneLoad struct {
	services []serviceLoad
	made     time.Time // when it was added up, by this node's clock
	packed   []byte    // as the node wrote it that added it up
}

// serviceLoad is the sum over the nodes beside one service's servers.
type serviceLoad struct {
	Nodes int        `json:"n"` // that reported
	Load  loadReport `json:"l"` // without host, epoch and sequence
}

// addUp returns the sum of a zone's reports by service.
func addUp(reports map[string]*loadReport) []serviceLoad {
	by := map[string]*serviceLoad{}
	for _, r := range reports {
		s := by[r.Service]
		if s == nil {
			s = &serviceLoad{Load: loadReport{Service: r.Service, Entries: map[string]entryReport{}, Runs: map[string]runReport{}}}
			by[r.Service] = s
		}
		s.add(r)
	}
	all := make([]serviceLoad, 0, len(by))
	for _, s := range by {
		all = append(all, *s)
	}
	return all
}

// add puts one node's report on top.
func (s *serviceLoad) add(r *loadReport) {
	s.Nodes++
	s.Load.Room += r.Room
	for route, e := range r.Entries {
		sum := s.Load.Entries[route]
		sum.Fresh += e.Fresh
		sum.Returning += e.Returning
		s.Load.Entries[route] = sum
	}
	for route, x := range r.Runs {
		s.Load.Runs[route] = s.Load.Runs[route].with(x)
	}
}

// with returns the runs of both, with times and calls averaged by how often each runs.
func (r runReport) with(o runReport) runReport {
	sum := runReport{Rate: r.Rate + o.Rate, Calls: callgraph.Rates{}}
	if sum.Rate <= 0 {
		return sum
	}
	sum.Hold = (r.Rate*r.Hold + o.Rate*o.Hold) / sum.Rate
	for _, part := range []runReport{r, o} {
		for called, k := range part.Calls {
			sum.Calls[called] += k * part.Rate / sum.Rate
		}
	}
	return sum
}

// zoneStep is how much newer the sum of another zone has to be to be taken: each of its nodes adds up its own.
const zoneStep = 50 * time.Millisecond

// takeZones takes over sums of other availability zones that are newer than those held.
func (n *Node) takeZones(now time.Time, from string, zones []packedZone) {
	for _, p := range zones {
		made := now.Add(-max(p.Age, 0))
		old := n.control.zones[p.Zone]
		if p.Zone == n.cfg.Zone || (old != nil && made.Sub(old.made) < zoneStep) {
			continue // the reports themselves are at hand, or it is no news
		}
		z := &zoneLoad{made: made, packed: p.Body}
		if err := unpack(p.Body, &z.services); err != nil {
			n.controlLog.Warn("report can't be read", "peer", from, "host", p.Zone, "err", err)
			continue
		}
		if len(z.services) > 0 {
			n.control.zones[p.Zone] = z
		}
	}
}

// ownZone returns the sum of this zone, as told to other zones.
func (n *Node) ownZone(now time.Time) []packedZone {
	if now.Sub(n.control.ownZone.made) >= zoneStep {
		body, err := pack(addUp(n.control.reports))
		if err != nil {
			n.controlLog.Error("report can't be written", "err", err)
			return nil
		}
		n.control.ownZone = zoneLoad{made: now, packed: body}
	}
	return []packedZone{{Zone: n.cfg.Zone, Age: now.Sub(n.control.ownZone.made), Body: n.control.ownZone.packed}}
}

// otherZones returns the sums of the other availability zones, for the nodes of this one.
func (n *Node) otherZones(now time.Time) []packedZone {
	var all []packedZone
	for name, z := range n.control.zones {
		if len(z.services) > 0 {
			all = append(all, packedZone{Zone: name, Age: now.Sub(z.made), Body: z.packed})
		}
	}
	return all
}

// forgetLoads drops what is too old to count.
func (n *Node) forgetLoads(now time.Time) {
	life := max(reportLifeLeast, reportLifeTalks*n.talkPeriod())
	for host, r := range n.control.reports {
		if now.Sub(r.heard) > life {
			delete(n.control.reports, host)
		}
	}
	zoneLife := max(zoneLifeLeast, zoneLifeTalks*n.talkPeriod())
	for _, z := range n.control.zones {
		if now.Sub(z.made) > zoneLife {
			z.services = nil // the zone stays known as one that was heard
		}
	}
}

// loads returns the reports of this zone's nodes and the sums of the others, one for each service and zone.
func (n *Node) loads() []*loadReport {
	all := make([]*loadReport, 0, len(n.control.reports)+len(n.control.zones))
	for _, r := range n.control.reports {
		all = append(all, r)
	}
	for _, z := range n.control.zones {
		for i := range z.services {
			all = append(all, &z.services[i].Load)
		}
	}
	return all
}

// capacity returns the slots of each service that its gates fill. Work that a server refuses takes no slot, so
// a server that refuses a part of it counts in full. One to which more
// comes than it can take counts for less.
func (n *Node) capacity() map[string]float64 {
	c := map[string]float64{}
	for service, peers := range n.view.Load().services {
		far := map[string][]*peer{}
		for _, p := range peers {
			if zone := p.inZone(); zone != n.cfg.Zone {
				far[zone] = append(far[zone], p)
				continue
			}
			if r := n.control.reports[p.host]; r != nil && r.Room > 0 {
				c[service] += r.Room
			} else if p.reachable() {
				c[service] += float64(p.slots.Load())
			}
		}
		for zone, peers := range far {
			c[service] += n.control.zones[zone].room(service, peers)
		}
	}
	return c
}

// room returns the slots of a service's servers in the zone: as many as have reported count by the sum, the
// others by their slots where they can be reached. A zone that was heard once and isn't any more has none.
func (z *zoneLoad) room(service string, peers []*peer) float64 {
	if z != nil && len(z.services) == 0 {
		return 0
	}
	sum := z.service(service)
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
	slots := 0.0
	for _, p := range peers {
		if p.reachable() {
			slots += float64(p.slots.Load())
		}
	}
	return room + slots*float64(left)/float64(len(peers))
}

// service returns the sum of one service; a zone that told nothing has none.
func (z *zoneLoad) service(name string) serviceLoad {
	if z != nil {
		for _, s := range z.services {
			if s.Load.Service == name {
				return s
			}
		}
	}
	return serviceLoad{}
}
