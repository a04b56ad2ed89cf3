package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/loads"
)

// zoneLoadStep is how much newer the sum of a zone has to be to replace the known one, since each node of a zone computes
// its own sums.
const zoneLoadStep = 50 * time.Millisecond

// mergeZoneLoads stores those sums of other availability zones that are newer than the known ones.
func (n *Node) mergeZoneLoads(now time.Time, from string, zones []packedZone) {
	for _, p := range zones {
		computedAt := now.Add(-max(p.Age, 0))
		old := n.control.zoneLoads[p.Zone]
		if p.Zone == n.cfg.Zone || (old != nil && computedAt.Sub(old.computedAt) < zoneLoadStep) {
			continue // this node has the zone's reports, or the sum isn't newer
		}
		z := &zoneLoad{computedAt: computedAt, packed: p.Body}
		if err := unpack(p.Body, &z.services); err != nil {
			n.controlLog.Warn("failed to decode load report", "peer", from, "host", p.Zone, "err", err)
			continue
		}
		if len(z.services) > 0 {
			n.control.zoneLoads[p.Zone] = z
		}
	}
}

// packedLocalZone returns the sum of this zone's reports, as sent to other zones; it is reused for zoneLoadStep.
func (n *Node) packedLocalZone(now time.Time) []packedZone {
	if now.Sub(n.control.localZoneLoad.computedAt) >= zoneLoadStep {
		body, err := pack(loads.SumByService(n.localZoneReports()))
		if err != nil {
			n.controlLog.Error("failed to encode load report", "err", err)
			return nil
		}
		n.control.localZoneLoad = zoneLoad{computedAt: now, packed: body}
	}
	return []packedZone{{Zone: n.cfg.Zone, Age: now.Sub(n.control.localZoneLoad.computedAt), Body: n.control.localZoneLoad.packed}}
}

// packedOtherZones returns the unexpired sums of the other availability zones, as sent to nodes of this zone.
func (n *Node) packedOtherZones(now time.Time) []packedZone {
	var all []packedZone
	for name, z := range n.control.zoneLoads {
		if len(z.services) > 0 {
			all = append(all, packedZone{Zone: name, Age: now.Sub(z.computedAt), Body: z.packed})
		}
	}
	return all
}
