package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/quota"
)

// quotaPath is where nodes ask the owner of a team's quota for tokens, and handoverPath where an owner hands over to the next.
const (
	quotaPath    = "/quota"
	handoverPath = "/quota-handover"
)

// maxTokens bounds what is asked for at a time.
const maxTokens = 1000

// quotaQuestion asks the owner of a team for tokens.
type quotaQuestion struct {
	Team string `codec:"t"`
	Want int    `codec:"n"`
	Zone string `codec:"z"` // of the one who asks
}

// quotaAnswer is the owner's answer.
type quotaAnswer struct {
	Tokens int           `codec:"n"`
	Wait   time.Duration `codec:"w"` // if there are none: when to ask again
	Owner  string        `codec:"o"` // who owns the team, if it isn't the node that was asked
}

// serveQuota answers a node that asks for tokens.
func (n *Node) serveQuota(w http.ResponseWriter, r *http.Request) {
	var q quotaQuestion
	if n.readQuestion(w, r, maxShortAnswer, &q, func() bool { return q.Want >= 1 && q.Want <= maxTokens }) {
		n.answerNode(w, n.grant(&q))
	}
}

// grant gives out tokens of a team that this node owns.
func (n *Node) grant(q *quotaQuestion) quotaAnswer {
	team := n.state.Load().Team(q.Team)
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	if !n.quotas.owner.Owns(q.Team) {
		return quotaAnswer{Owner: n.otherOwner(q.Team)}
	}
	if !team.Limited() {
		return quotaAnswer{Wait: unknownTeamWait}
	}
	g := n.quotas.owner.Grant(clock.Boot(n.clock), q.Team, limitOf(team), q.Want, q.Zone != n.cfg.Zone)
	return quotaAnswer{Tokens: g.Tokens, Wait: g.Wait}
}

// unknownTeamWait is when to ask again for a team that has no limit in the desired state here: its news is on its way.
const unknownTeamWait = 100 * time.Millisecond

// otherOwner returns who owns a team of this zone, or this node's own host where that isn't known: it certainly isn't the owner.
func (n *Node) otherOwner(team string) string {
	if host := n.roles.Load().rings[n.cfg.Zone].OwnerOf(team); host != "" {
		return host
	}
	return n.ip
}

// electOwners takes who owns which teams in the own zone, and hands over what goes to others; without a ring nobody owns any.
func (n *Node) electOwners(now time.Time, ring *quota.ShardOwners, part float64) {
	limits := limitsOf(n.state.Load())
	owns := func(shard int) bool { return ring != nil && ring[shard] == n.ip }
	n.quotas.mu.Lock()
	left := n.quotas.owner.UpdateOwnership(clock.Boot(n.clock), owns, part, n.quotaWait(now), limits)
	n.quotas.mu.Unlock()
	byOwner := make(map[string][]quota.Balance)
	for _, b := range left {
		if host := ring.OwnerOf(b.Team); host != "" {
			byOwner[host] = append(byOwner[host], b)
		}
	}
	for host, balances := range byOwner {
		go n.handOver(host, balances)
	}
}

// handOver tells the next owner of some teams what is left of them. What doesn't arrive is lost, and the next one begins with
// nothing.
func (n *Node) handOver(host string, balances []quota.Balance) {
	var taken quotaAnswer
	if err := n.askNode(context.Background(), host, handoverPath, quotaTime, balances, &taken); err != nil {
		n.controlLog.Info("quotas not handed over", "peer", host, "teams", len(balances), "err", err)
	}
}

// serveHandover takes what another owner hands over.
func (n *Node) serveHandover(w http.ResponseWriter, r *http.Request) {
	var balances []quota.Balance
	if !n.readQuestion(w, r, maxMessageBytes, &balances, func() bool { return true }) {
		return
	}
	now, state := clock.Boot(n.clock), n.state.Load()
	n.quotas.mu.Lock()
	for _, b := range balances {
		if team := state.Team(b.Team); team.Limited() && b.Tokens > 0 {
			n.quotas.owner.ReceiveBalance(now, b, limitOf(team))
		}
	}
	n.quotas.mu.Unlock()
	n.answerNode(w, quotaAnswer{})
}

// limitsOf returns the limits of all teams that have one.
func limitsOf(s *desired.State) map[string]quota.Limit {
	limits := make(map[string]quota.Limit)
	if s == nil {
		return limits
	}
	for i := range s.Teams {
		if t := &s.Teams[i]; t.Limited() {
			limits[t.Name] = limitOf(t)
		}
	}
	return limits
}
