package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/loads"
)

// zoneStep is how much newer the sum of another zone has to be to be taken: each of its nodes adds up its own.
const zoneStep = 50 * time.Millisecond

// takeZones takes over sums of other availability zones that are newer than those held.
func (n *Node) takeZones(now time.Time, from string, zones []packedZone) {
	for _, p := range zones {
		made := now.Add(-max(p.Age, 0))
		old := n.control.zoneLoads[p.Zone]
		if p.Zone == n.cfg.Zone || (old != nil && made.Sub(old.made) < zoneStep) {
			continue // the reports themselves are at hand, or it is no news
		}
		z := &zoneLoad{made: made, packed: p.Body}
		if err := unpack(p.Body, &z.services); err != nil {
			n.controlLog.Warn("report can't be read", "peer", from, "host", p.Zone, "err", err)
			continue
		}
		if len(z.services) > 0 {
			n.control.zoneLoads[p.Zone] = z
		}
	}
}

// ownZone returns the sum of this zone, as told to other zones.
func (n *Node) ownZone(now time.Time) []packedZone {
	if now.Sub(n.control.localZoneLoad.made) >= zoneStep {
		body, err := pack(loads.SumByService(n.ownReports()))
		if err != nil {
			n.controlLog.Error("report can't be written", "err", err)
			return nil
		}
		n.control.localZoneLoad = zoneLoad{made: now, packed: body}
	}
	return []packedZone{{Zone: n.cfg.Zone, Age: now.Sub(n.control.localZoneLoad.made), Body: n.control.localZoneLoad.packed}}
}

// otherZones returns the sums of the other availability zones, for the nodes of this one.
func (n *Node) otherZones(now time.Time) []packedZone {
	var all []packedZone
	for name, z := range n.control.zoneLoads {
		if len(z.services) > 0 {
			all = append(all, packedZone{Zone: name, Age: now.Sub(z.made), Body: z.packed})
		}
	}
	return all
}
