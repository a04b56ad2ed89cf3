package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/freshness"
	"github.com/rockspoke/rockspoke/pkg/quota"
)

// teamRoles assigns the reading of freshness proofs and the ownership of quotas to nodes; it is immutable once published.
type teamRoles struct {
	proofs      freshness.Roles
	quotaOwners map[string]*quota.ShardOwners // quota owners, by availability zone
}

// zoneMembers are the hosts in each availability zone at the last assignment of roles; only the control goroutine uses it.
type zoneMembers struct {
	byZone         map[string][]string
	localZoneKnown int // known hosts in the local zone, whether or not they send reports
}

// updateTeamRoles assigns roles again if the members of a zone have changed.
func (n *Node) updateTeamRoles(now time.Time) {
	if !n.needsKeys(n.state.Load()) {
		return
	}
	members, previous := n.roleCandidates(now), n.control.members
	if members.localZoneKnown == previous.localZoneKnown && maps.EqualFunc(members.byZone, previous.byZone, slices.Equal) {
		return
	}
	n.control.members = members
	old := n.roles.Load()
	roles := &teamRoles{quotaOwners: make(map[string]*quota.ShardOwners, len(members.byZone)), proofs: old.proofs}
	for zone, hosts := range members.byZone {
		roles.quotaOwners[zone] = old.quotaOwners[zone]
		if !slices.Equal(hosts, previous.byZone[zone]) {
			roles.quotaOwners[zone] = quota.ChooseOwners(hosts)
		}
	}
	localHosts := members.byZone[n.cfg.Zone]
	if !slices.Equal(localHosts, previous.byZone[n.cfg.Zone]) {
		roles.proofs = freshness.ChooseRoles(localHosts)
	}
	n.updateQuotaOwnership(now, roles.quotaOwners[n.cfg.Zone], float64(len(localHosts))/float64(max(members.localZoneKnown, 1)))
	n.roles.Store(roles)
}

// maxStartSkew is the largest difference between the starts of nodes of a zone that count as started together.
const maxStartSkew = 3 * time.Second

// quotaGrantDelay returns how long this node waits before it grants tokens of quotas whose owner it has become. If all nodes of the zone started
// together, nobody owned a quota before this node's start, so the wait is counted from the start.
func (n *Node) quotaGrantDelay(now time.Time) time.Duration {
	for _, r := range n.control.reports {
		if r.Epoch < n.epoch-maxStartSkew.Milliseconds() {
			return quota.SettleTime
		}
	}
	if now.Sub(n.started) > maxStartSkew {
		return quota.SettleTime
	}
	return n.started.Sub(now)
}

// roleCandidates returns the nodes of each zone that may have a role: in the local zone those that send reports, in other zones
// all known nodes.
func (n *Node) roleCandidates(now time.Time) zoneMembers {
	m := zoneMembers{byZone: make(map[string][]string)}
	justStarted := now.Sub(n.started) < minReportTTL
	for _, r := range n.control.directory.All() {
		local := r.Zone == n.cfg.Zone || r.Host == n.ip
		alive := !local || r.Host == n.ip || n.hasRecentReport(now, r.Host) || justStarted
		if local && (r.Phase != directory.Gone || alive) {
			m.localZoneKnown++
		}
		if alive && !n.isStopping(now, r.Host) && (local || r.Phase != directory.Gone) {
			zone := r.Zone
			if local {
				zone = n.cfg.Zone
			}
			m.byZone[zone] = append(m.byZone[zone], r.Host)
		}
	}
	return m
}

// memberExchanges is how many exchange periods a node keeps its role after its last report, and minMemberTime the minimum time. No node serves
// its role meanwhile. Reports of a healthy node reach the whole zone within about a second.
const (
	memberExchanges = 6
	minMemberTime   = 2 * time.Second
)

// hasRecentReport reports whether a node of the local zone has sent a report lately and isn't leaving.
func (n *Node) hasRecentReport(now time.Time, host string) bool {
	r := n.control.reports[host]
	return r != nil && !r.Leaving && now.Sub(r.receivedAt) <= max(memberExchanges*n.calmExchangePeriod(), minMemberTime)
}

// isStopping reports whether a node is known to be stopping.
func (n *Node) isStopping(now time.Time, host string) bool {
	if host == n.ip {
		return n.stop.stopping()
	}
	_, stopping := n.peer(host).stoppingFor(now)
	return stopping
}
