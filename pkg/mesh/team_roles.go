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
	rings  map[string]*quota.ShardOwners // owners of quotas, by availability zone
}

// zoneMembers is the nodes of each availability zone as the roles were last chosen; the control goroutine's.
type zoneMembers struct {
	byZone map[string][]string
	known  int // of the own zone, whether they are heard or not
}

// chooseTeamRoles chooses anew where nodes have come or gone.
func (n *Node) chooseTeamRoles(now time.Time) {
	if !n.needsKeys(n.state.Load()) {
		return
	}
	members, before := n.teamMembers(now), n.control.members
	if members.known == before.known && maps.EqualFunc(members.byZone, before.byZone, slices.Equal) {
		return
	}
	n.control.members = members
	old := n.roles.Load()
	roles := &teamRoles{rings: make(map[string]*quota.ShardOwners, len(members.byZone)), proofs: old.proofs}
	for zone, hosts := range members.byZone {
		roles.rings[zone] = old.rings[zone]
		if !slices.Equal(hosts, before.byZone[zone]) {
			roles.rings[zone] = quota.ChooseOwners(hosts)
		}
	}
	own := members.byZone[n.cfg.Zone]
	if !slices.Equal(own, before.byZone[n.cfg.Zone]) {
		roles.proofs = freshness.ChooseRoles(own)
	}
	n.electOwners(now, roles.rings[n.cfg.Zone], float64(len(own))/float64(max(members.known, 1)))
	n.roles.Store(roles)
}

// youngZone is by how much older than this process another one of its zone is that wasn't started together with it.
const youngZone = 3 * time.Second

// quotaWait returns how long this node waits before it gives out what it comes to own. Where all nodes of the zone were started
// together nobody has owned it since this one was started, so it has come in since.
func (n *Node) quotaWait(now time.Time) time.Duration {
	for _, r := range n.control.reports {
		if r.Epoch < n.epoch-youngZone.Milliseconds() {
			return quota.SettleTime
		}
	}
	if now.Sub(n.started) > youngZone {
		return quota.SettleTime
	}
	return n.started.Sub(now)
}

// teamMembers returns the nodes of each zone that may have a role: of the own zone those that are heard, of the others
// all that are known.
func (n *Node) teamMembers(now time.Time) zoneMembers {
	m := zoneMembers{byZone: make(map[string][]string)}
	fresh := now.Sub(n.started) < minReportTTL
	for _, r := range n.control.directory.All() {
		near := r.Zone == n.cfg.Zone || r.Host == n.ip
		heard := !near || r.Host == n.ip || n.heardOf(now, r.Host) || fresh
		if near && (r.Phase != directory.Gone || heard) {
			m.known++
		}
		if heard && !n.stopsNow(now, r.Host) && (near || r.Phase != directory.Gone) {
			zone := r.Zone
			if near {
				zone = n.cfg.Zone
			}
			m.byZone[zone] = append(m.byZone[zone], r.Host)
		}
	}
	return m
}

// memberTime is how long a node that isn't heard any more keeps its role, in exchanges, and memberLeast at the least: what it owns is
// at nobody's disposal meanwhile. Reports of a node that is well take about a second to reach all of its zone.
const (
	memberTime  = 6
	memberLeast = 2 * time.Second
)

// heardOf tells whether a node of the own zone was heard lately, and doesn't leave.
func (n *Node) heardOf(now time.Time, host string) bool {
	r := n.control.reports[host]
	return r != nil && !r.Leaving && now.Sub(r.receivedAt) <= max(memberTime*n.calmExchangePeriod(), memberLeast)
}

// stopsNow tells whether a node is known to be stopping.
func (n *Node) stopsNow(now time.Time, host string) bool {
	if host == n.ip {
		return n.stop.leaving()
	}
	_, stops := n.peer(host).stopsFor(now)
	return stops
}
