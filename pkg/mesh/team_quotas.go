package mesh

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/quota"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// teamQuotas is what a node has of the teams' quotas: the tokens in hand, and the buckets that it owns.
type teamQuotas struct {
	mu    sync.Mutex
	pool  quota.Pool
	owner quota.Owner
	// silent is the owners that didn't answer, and until when they aren't asked.
	silent map[string]time.Time
}

// quotaRules returns the operator's bounds.
func quotaRules(m *settings.Mesh) quota.Rules {
	return quota.Rules{Window: m.QuotaWindow, Excess: m.QuotaExcess, Slack: m.QuotaSlack, Zones: len(m.Zones)}
}

// quotaPath is where nodes ask the owner of a team's quota for tokens, and handoverPath where an owner hands over to the next.
const (
	quotaPath    = "/quota"
	handoverPath = "/quota-handover"
)

const (
	// quotaTime bounds a question to an owner: a request waits for it, and an answer takes a few milliseconds at the most, while the owner is well.
	quotaTime = 80 * time.Millisecond
	// silentTime is how long an owner that didn't answer isn't asked.
	silentTime = 300 * time.Millisecond
	// maxTokens bounds what is asked for at a time.
	maxTokens = 1000
)

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

// electOwners takes who owns which teams in the own zone, and hands over what goes to others.
func (n *Node) electOwners(now time.Time, ring *quota.Ring, part float64) {
	limits := limitsOf(n.state.Load())
	n.quotas.mu.Lock()
	left := n.quotas.owner.Elect(clock.Boot(n.clock), func(shard int) bool { return ring[shard] == n.ip }, part, n.quotaWait(now), limits)
	n.quotas.mu.Unlock()
	byOwner := make(map[string][]quota.Balance)
	for _, b := range left {
		if host := ring.Of(b.Team); host != "" {
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
	data, err := io.ReadAll(io.LimitReader(r.Body, maxMessage))
	var balances []quota.Balance
	if err == nil {
		err = unpack(data, &balances)
	}
	if err != nil {
		n.controlLog.Warn("question can't be read", "peer", r.RemoteAddr, "path", handoverPath, "err", err)
		http.Error(w, "not a question", http.StatusBadRequest)
		return
	}
	now, state := clock.Boot(n.clock), n.state.Load()
	n.quotas.mu.Lock()
	for _, b := range balances {
		if team := state.Team(b.Team); team.Limited() && b.Tokens > 0 {
			n.quotas.owner.Receive(now, b, limitOf(team))
		}
	}
	n.quotas.mu.Unlock()
	n.answerNode(w, quotaAnswer{})
}

// forgetTeams drops what is in hand of teams that a new desired state lacks.
func (n *Node) forgetTeams(s *desired.State) {
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.pool.Keep(func(team string) bool { return s.Team(team) != nil })
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

// noteSilent notes an owner that didn't answer.
func (t *teamQuotas) noteSilent(now time.Time, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silent == nil {
		t.silent = make(map[string]time.Time)
	}
	t.silent[host] = now.Add(silentTime)
}

// isSilent tells whether an owner didn't answer a moment ago.
func (t *teamQuotas) isSilent(now time.Time, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, noted := t.silent[host]
	if noted && !now.Before(until) {
		delete(t.silent, host)
	}
	return noted && now.Before(until)
}

// limitOf returns a team's quota.
func limitOf(t *desired.Team) quota.Limit { return quota.Limit{Rate: t.Rate, Burst: t.Burst} }

// checkQuota takes one request off the team's quota; it returns the answer if there is nothing left, or nil. That comes
// before admission, so that what is over a quota isn't taken for overload.
func (n *Node) checkQuota(ctx context.Context, q *request) *answer {
	if !q.team.Limited() || !n.quotas.owner.Rules.Kept() {
		return nil
	}
	asked := clock.Boot(n.clock) // tokens lapse while the VM is suspended, too
	n.quotas.mu.Lock()
	ok, want := n.quotas.pool.Take(asked, q.team.Name)
	n.quotas.mu.Unlock()
	if ok {
		return nil
	}
	tokens, heard := n.askOwners(ctx, q.team, want)
	for tokens == 0 && !heard && n.awaitNews(ctx) {
		tokens, heard = n.askOwners(ctx, q.team, 1) // a node that has just started doesn't know the owners yet
	}
	n.quotas.mu.Lock()
	n.quotas.pool.Put(asked, q.team.Name, tokens)
	n.quotas.mu.Unlock()
	if tokens > 0 {
		return nil
	}
	return n.overQuota(q, heard)
}

// overQuota is the answer to a request for which there is no token; heard tells whether an owner said so.
func (n *Node) overQuota(q *request, heard bool) *answer {
	a := refused(wire.ReasonQuota)
	if !heard {
		a = refused(wire.ReasonNoOwner)
	}
	a.overloaded = true // the next tokens are for others who wait as well
	n.callLog.Info("over quota", "request", q.id, "route", q.Route, "team", q.team.Name, "owner_heard", heard)
	return a
}

// giveBackQuota returns the token of a request that wasn't let in after all.
func (n *Node) giveBackQuota(q *request) {
	if !q.team.Limited() || !n.quotas.owner.Rules.Kept() {
		return
	}
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.pool.GiveBack(clock.Boot(n.clock), q.team.Name)
}

// askOwners asks the owner of the own zone for tokens, and those of the others if it has none; heard tells whether one of them
// has answered, or did so a moment ago.
func (n *Node) askOwners(ctx context.Context, team *desired.Team, want int) (tokens int, heard bool) {
	for _, zone := range n.zonesNearFirst() {
		n.quotas.mu.Lock()
		may := n.quotas.pool.MayHave(clock.Boot(n.clock), team.Name, zone)
		n.quotas.mu.Unlock()
		if !may {
			heard = true
			continue
		}
		if zone != n.cfg.Zone {
			want = 1 // tokens of other zones are for requests that are there
		}
		a, ok := n.askOwner(ctx, zone, team, want)
		if !ok {
			continue
		}
		heard = true
		if a.Tokens > 0 {
			return a.Tokens, true
		}
		n.quotas.mu.Lock()
		n.quotas.pool.Nothing(team.Name, zone, clock.Boot(n.clock).Add(a.Wait))
		n.quotas.mu.Unlock()
	}
	return 0, heard
}

// zonesNearFirst returns the availability zones, the own one first and the others in an order by chance.
func (n *Node) zonesNearFirst() []string {
	zones := make([]string, 1, len(n.cfg.Mesh.Zones))
	zones[0] = n.cfg.Zone
	for _, i := range rand.Perm(len(n.cfg.Mesh.Zones)) {
		if z := n.cfg.Mesh.Zones[i]; z != n.cfg.Zone {
			zones = append(zones, z)
		}
	}
	return zones
}

// askOwner asks the owner of one zone, and whom that one takes for the owner if it isn't.
func (n *Node) askOwner(ctx context.Context, zone string, team *desired.Team, want int) (quotaAnswer, bool) {
	question := quotaQuestion{Team: team.Name, Want: want, Zone: n.cfg.Zone}
	host := n.roles.Load().rings[zone].Of(team.Name)
	for range 2 {
		if host == n.ip {
			a := n.grant(&question)
			return a, a.Owner == ""
		}
		if host == "" || !n.peer(host).reachable() || n.quotas.isSilent(n.clock.Now(), host) {
			return quotaAnswer{}, false
		}
		n.metrics.count("quota_questions_total", "near", near(zone == n.cfg.Zone))
		var a quotaAnswer
		if err := n.askNode(ctx, host, quotaPath, quotaTime, &question, &a); err != nil {
			if ctx.Err() == nil {
				n.quotas.noteSilent(n.clock.Now(), host)
			}
			return quotaAnswer{}, false
		}
		if a.Owner == "" || a.Owner == host {
			return a, a.Owner == ""
		}
		host = a.Owner
	}
	return quotaAnswer{}, false
}

// near names a zone for a metric.
func near(own bool) string {
	if own {
		return "true"
	}
	return "false"
}

// serveQuota answers a node that asks for tokens.
func (n *Node) serveQuota(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxShortAnswer))
	var question quotaQuestion
	if err == nil {
		err = unpack(data, &question)
	}
	if err != nil || question.Want < 1 || question.Want > maxTokens {
		n.controlLog.Warn("question can't be read", "peer", r.RemoteAddr, "path", quotaPath, "err", err)
		http.Error(w, "not a question", http.StatusBadRequest)
		return
	}
	n.answerNode(w, n.grant(&question))
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
	if host := n.roles.Load().rings[n.cfg.Zone].Of(team); host != "" {
		return host
	}
	return n.ip
}
