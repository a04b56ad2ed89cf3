package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/freshness"
	"github.com/rockspoke/rockspoke/pkg/quota"
)

// teamRoles says which nodes do what for keys and quotas; it is never changed once published.
type teamRoles struct {
	proofs freshness.Roles
	rings  map[string]*quota.Ring // owners of quotas, by availability zone
}

// zoneMembers is the nodes of each availability zone as the roles were last chosen; the control goroutine's.
type zoneMembers struct {
	byZone         map[string][]string
	localZoneKnown int // of the own zone, whether they are heard or not
}

// updateTeamRoles chooses anew where nodes have come or gone.
func (n *Node) updateTeamRoles(now time.Time) {
	if !n.needsKeys(n.state.Load()) {
		return
	}
	members, before := n.roleCandidates(now), n.control.members
	if members.localZoneKnown == before.localZoneKnown && maps.EqualFunc(members.byZone, before.byZone, slices.Equal) {
		return
	}
	n.control.members = members
	old := n.roles.Load()
	roles := &teamRoles{rings: make(map[string]*quota.Ring, len(members.byZone)), proofs: old.proofs}
	for zone, hosts := range members.byZone {
		roles.rings[zone] = old.rings[zone]
		if !slices.Equal(hosts, before.byZone[zone]) {
			roles.rings[zone] = quota.Owners(hosts)
		}
	}
	own := members.byZone[n.cfg.Zone]
	if !slices.Equal(own, before.byZone[n.cfg.Zone]) {
		roles.proofs = freshness.Choose(own)
	}
	n.updateQuotaOwnership(now, roles.rings[n.cfg.Zone], float64(len(own))/float64(max(members.localZoneKnown, 1)))
	n.roles.Store(roles)
}

// maxStartSkew is by how much older than this process another one of its zone is that wasn't started together with it.
const maxStartSkew = 3 * time.Second

// quotaGrantDelay returns how long this node waits before it gives out what it comes to own. Where all nodes of the zone were started
// together nobody has owned it since this one was started, so it has come in since.
func (n *Node) quotaGrantDelay(now time.Time) time.Duration {
	for _, r := range n.control.reports {
		if r.Epoch < n.epoch-maxStartSkew.Milliseconds() {
			return quota.Settle
		}
	}
	if now.Sub(n.started) > maxStartSkew {
		return quota.Settle
	}
	return n.started.Sub(now)
}

// roleCandidates returns the nodes of each zone that may have a role: of the own zone those that are heard, of the others
// all that are known.
func (n *Node) roleCandidates(now time.Time) zoneMembers {
	m := zoneMembers{byZone: make(map[string][]string)}
	fresh := now.Sub(n.started) < reportLifeLeast
	for _, r := range n.control.directory.All() {
		near := r.Zone == n.cfg.Zone || r.Host == n.ip
		heard := !near || r.Host == n.ip || n.hasRecentReport(now, r.Host) || fresh
		if near && (r.Phase != directory.Gone || heard) {
			m.localZoneKnown++
		}
		if heard && !n.isStopping(now, r.Host) && (near || r.Phase != directory.Gone) {
			zone := r.Zone
			if near {
				zone = n.cfg.Zone
			}
			m.byZone[zone] = append(m.byZone[zone], r.Host)
		}
	}
	return m
}

// memberExchanges is how long a node that isn't heard any more keeps its role, in exchanges, and minMemberTime at the least: what it owns is
// at nobody's disposal meanwhile. Reports of a node that is well take about a second to reach all of its zone.
const (
	memberExchanges = 6
	minMemberTime   = 2 * time.Second
)

// hasRecentReport tells whether a node of the own zone was heard lately, and doesn't leave.
func (n *Node) hasRecentReport(now time.Time, host string) bool {
	r := n.control.reports[host]
	return r != nil && !r.Leaving && now.Sub(r.heard) <= max(memberExchanges*n.calmTalkPeriod(), minMemberTime)
}

// isStopping tells whether a node is known to be stopping.
func (n *Node) isStopping(now time.Time, host string) bool {
	if host == n.ip {
		return n.stop.stopping()
	}
	_, stops := n.peer(host).stoppingFor(now)
	return stops
}
