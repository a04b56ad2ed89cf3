package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/loads"
)

// zoneLoadStep is how much newer the sum of another zone has to be to be taken: each of its nodes adds up its own.
const zoneLoadStep = 50 * time.Millisecond

// mergeZoneLoads takes over sums of other availability zones that are newer than those held.
func (n *Node) mergeZoneLoads(now time.Time, from string, zones []packedZone) {
	for _, p := range zones {
		made := now.Add(-max(p.Age, 0))
		old := n.control.zones[p.Zone]
		if p.Zone == n.cfg.Zone || (old != nil && made.Sub(old.computedAt) < zoneLoadStep) {
			continue // the reports themselves are at hand, or it is no news
		}
		z := &zoneLoad{computedAt: made, packed: p.Body}
		if err := unpack(p.Body, &z.services); err != nil {
			n.controlLog.Warn("report can't be read", "peer", from, "host", p.Zone, "err", err)
			continue
		}
		if len(z.services) > 0 {
			n.control.zones[p.Zone] = z
		}
	}
}

// packedOwnZone returns the sum of this zone, as told to other zones.
func (n *Node) packedOwnZone(now time.Time) []packedZone {
	if now.Sub(n.control.ownZone.computedAt) >= zoneLoadStep {
		body, err := pack(loads.AddUp(n.ownZoneReports()))
		if err != nil {
			n.controlLog.Error("report can't be written", "err", err)
			return nil
		}
		n.control.ownZone = zoneLoad{computedAt: now, packed: body}
	}
	return []packedZone{{Zone: n.cfg.Zone, Age: now.Sub(n.control.ownZone.computedAt), Body: n.control.ownZone.packed}}
}

// packedOtherZones returns the sums of the other availability zones, for the nodes of this one.
func (n *Node) packedOtherZones(now time.Time) []packedZone {
	var all []packedZone
	for name, z := range n.control.zones {
		if len(z.services) > 0 {
			all = append(all, packedZone{Zone: name, Age: now.Sub(z.computedAt), Body: z.packed})
		}
	}
	return all
}
