package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/quota"
)

// quotaPath is where nodes request tokens from the owner of a team's quota; quotaHandoverPath is where an owner hands tokens over to the next.
const (
	quotaPath         = "/quota"
	quotaHandoverPath = "/quota-handover"
)

// maxTokensPerRequest bounds the tokens that one request may ask for.
const maxTokensPerRequest = 1000

// quotaRequest requests tokens from the owner of a team's quota.
type quotaRequest struct {
	Team string `codec:"t"`
	Want int    `codec:"n"`
	Zone string `codec:"z"` // of the requester
}

// quotaResponse is the response to a quotaRequest.
type quotaResponse struct {
	Tokens int           `codec:"n"`
	Wait   time.Duration `codec:"w"` // without tokens: how long to wait before the next request
	Owner  string        `codec:"o"` // the owner, if the queried node isn't it
}

// serveQuota answers another node's request for tokens.
func (n *Node) serveQuota(w http.ResponseWriter, r *http.Request) {
	var q quotaRequest
	if n.readNodeRequest(w, r, maxShortMessage, &q, func() bool { return q.Want >= 1 && q.Want <= maxTokensPerRequest }) {
		n.writeNodeResponse(w, n.grantTokens(&q))
	}
}

// grantTokens grants tokens of a team whose quota this node owns; otherwise it returns the owner.
func (n *Node) grantTokens(q *quotaRequest) quotaResponse {
	team := n.state.Load().Team(q.Team)
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	if !n.quotas.owner.Owns(q.Team) {
		return quotaResponse{Owner: n.zoneOwner(q.Team)}
	}
	if !team.HasQuota() {
		return quotaResponse{Wait: unknownTeamWait}
	}
	g := n.quotas.owner.Grant(clock.BootNow(n.clock), q.Team, quotaLimit(team), q.Want, q.Zone != n.cfg.Zone)
	return quotaResponse{Tokens: g.Tokens, Wait: g.Wait}
}

// unknownTeamWait is when to request again for a team without a limit in the desired state here: a newer state is about to arrive.
const unknownTeamWait = 100 * time.Millisecond

// zoneOwner returns the owner of a team's quota in this zone. Where that isn't known it returns this node's host, by which the requester
// recognizes that this node isn't the owner.
func (n *Node) zoneOwner(team string) string {
	if host := n.roles.Load().quotaOwners[n.cfg.Zone].OwnerOf(team); host != "" {
		return host
	}
	return n.ip
}

// updateQuotaOwnership applies a new assignment of owners in this zone and hands tokens over to new owners; nil owners means that there are none.
// presentFraction is the fraction of the zone's known nodes that is present.
func (n *Node) updateQuotaOwnership(now time.Time, owners *quota.ShardOwners, presentFraction float64) {
	limits := quotaLimits(n.state.Load())
	owns := func(shard int) bool { return owners != nil && owners[shard] == n.ip }
	n.quotas.mu.Lock()
	released := n.quotas.owner.UpdateOwnership(clock.BootNow(n.clock), owns, presentFraction, n.quotaGrantDelay(now), limits)
	n.quotas.mu.Unlock()
	byOwner := make(map[string][]quota.Balance)
	for _, b := range released {
		if host := owners.OwnerOf(b.Team); host != "" {
			byOwner[host] = append(byOwner[host], b)
		}
	}
	for host, balances := range byOwner {
		go n.handOverQuotas(host, balances)
	}
}

// handOverQuotas sends the remaining tokens of some teams to their next owner. If the message is lost, the next owner starts with
// empty buckets.
func (n *Node) handOverQuotas(host string, balances []quota.Balance) {
	var res quotaResponse
	if err := n.queryNode(context.Background(), host, quotaHandoverPath, quotaRequestTimeout, balances, &res); err != nil {
		n.controlLog.Info("quota handover failed", "peer", host, "teams", len(balances), "err", err)
	}
}

// serveQuotaHandover receives the tokens that a former owner hands over.
func (n *Node) serveQuotaHandover(w http.ResponseWriter, r *http.Request) {
	var balances []quota.Balance
	if !n.readNodeRequest(w, r, maxMessageBytes, &balances, func() bool { return true }) {
		return
	}
	now, state := clock.BootNow(n.clock), n.state.Load()
	n.quotas.mu.Lock()
	for _, b := range balances {
		if team := state.Team(b.Team); team.HasQuota() && b.Tokens > 0 {
			n.quotas.owner.ReceiveBalance(now, b, quotaLimit(team))
		}
	}
	n.quotas.mu.Unlock()
	n.writeNodeResponse(w, quotaResponse{})
}

// quotaLimits returns the limits of all teams that have one, by team name.
func quotaLimits(s *desired.State) map[string]quota.Limit {
	limits := make(map[string]quota.Limit)
	if s == nil {
		return limits
	}
	for i := range s.Teams {
		if t := &s.Teams[i]; t.HasQuota() {
			limits[t.Name] = quotaLimit(t)
		}
	}
	return limits
}
