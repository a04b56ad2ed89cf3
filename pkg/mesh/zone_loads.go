package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// zoneLoad is what the nodes of one availability zone report, added up by service. Any node of that zone
// may add it up; the newest counts. It keeps messages between zones, and what they grow with, small.
type zoneLoad struct {
	Zone     string        `json:"z"`
	Age      time.Duration `json:"a"` // since it was added up, when the message was written
	Services []serviceLoad `json:"s"`

	made time.Time // when it was added up, by this node's clock
}

// serviceLoad is the sum over the nodes beside one service's servers.
type serviceLoad struct {
	Nodes int        `json:"n"` // that reported
	Load  loadReport `json:"l"` // without host, epoch and sequence
}

// addUp returns the sum of this zone's reports.
func addUp(zone string, now time.Time, reports map[string]*loadReport) *zoneLoad {
	by := map[string]*serviceLoad{}
	for _, r := range reports {
		s := by[r.Service]
		if s == nil {
			s = &serviceLoad{Load: loadReport{Service: r.Service, Entries: map[string]entryReport{}, Runs: map[string]runReport{}}}
			by[r.Service] = s
		}
		s.add(r)
	}
	z := &zoneLoad{Zone: zone, made: now}
	for _, s := range by {
		z.Services = append(z.Services, *s)
	}
	return z
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

// takeZones takes over sums of other availability zones that are newer than those held.
func (n *Node) takeZones(now time.Time, zones []zoneLoad) {
	for i := range zones {
		z := &zones[i]
		z.made = now.Add(-max(z.Age, 0))
		if z.Zone == n.cfg.Zone || len(z.Services) == 0 {
			continue // the reports themselves are at hand, or there are none yet
		}
		if old := n.control.zones[z.Zone]; old == nil || z.made.After(old.made) {
			n.control.zones[z.Zone] = z
		}
	}
}

// otherZones returns the sums of the other availability zones, for the nodes of this one.
func (n *Node) otherZones(now time.Time) []zoneLoad {
	var all []zoneLoad
	for _, z := range n.control.zones {
		if len(z.Services) == 0 {
			continue
		}
		told := *z
		told.Age = now.Sub(z.made)
		all = append(all, told)
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
			z.Services = nil // the zone stays known as one that was heard
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
		for i := range z.Services {
			all = append(all, &z.Services[i].Load)
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
	if z != nil && len(z.Services) == 0 {
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
		for _, s := range z.Services {
			if s.Load.Service == name {
				return s
			}
		}
	}
	return serviceLoad{}
}
