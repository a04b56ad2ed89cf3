package mesh

import (
	"context"
	"math/rand/v2"
	"strconv"
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
func quotaRules(m *settings.Mesh) quota.Config {
	return quota.Config{Window: m.QuotaWindow, Excess: m.QuotaExcess, Slack: m.QuotaSlack, Zones: len(m.Zones)}
}

const (
	// quotaTime bounds a question to an owner: a request waits for it, and an answer takes a few milliseconds at the most, while the owner is well.
	quotaTime = 80 * time.Millisecond
	// silentTime is how long an owner that didn't answer isn't asked.
	silentTime = 300 * time.Millisecond
)

// forgetTeams drops what is in hand of teams that a new desired state lacks.
func (n *Node) forgetTeams(s *desired.State) {
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.pool.RetainTeams(func(team string) bool { return s.Team(team) != nil })
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

// isLimited tells whether a request counts against a quota.
func (n *Node) isLimited(q *request) bool { return q.team.Limited() && n.quotas.owner.Config.Enabled() }

// checkQuota takes one request off the team's quota; it returns the answer if there is nothing left, or nil. That comes
// before admission, so that what is over a quota isn't taken for overload.
func (n *Node) checkQuota(ctx context.Context, q *request) *answer {
	if !n.isLimited(q) {
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
	n.quotas.pool.AddGranted(asked, q.team.Name, tokens)
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
	if !n.isLimited(q) {
		return
	}
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.pool.ReturnToken(clock.Boot(n.clock), q.team.Name)
}

// askOwners asks the owner of the own zone for tokens, and those of the others, in an order by chance, if it has none; heard tells
// whether one of them has answered, or did so a moment ago.
func (n *Node) askOwners(ctx context.Context, team *desired.Team, want int) (tokens int, heard bool) {
	tokens, heard = n.askZone(ctx, n.cfg.Zone, team, want)
	if tokens > 0 {
		return tokens, true
	}
	zones := n.cfg.Mesh.Zones
	for _, i := range rand.Perm(len(zones)) {
		if zones[i] == n.cfg.Zone {
			continue
		}
		// One at a time: tokens of other zones are for requests that are there.
		tokens, answered := n.askZone(ctx, zones[i], team, 1)
		heard = heard || answered
		if tokens > 0 {
			return tokens, true
		}
	}
	return 0, heard
}

// askZone asks the owner of one zone, unless it had nothing a moment ago.
func (n *Node) askZone(ctx context.Context, zone string, team *desired.Team, want int) (tokens int, heard bool) {
	n.quotas.mu.Lock()
	may := n.quotas.pool.MayHaveTokens(clock.Boot(n.clock), team.Name, zone)
	n.quotas.mu.Unlock()
	if !may {
		return 0, true
	}
	a, ok := n.askOwner(ctx, zone, team, want)
	if ok && a.Tokens == 0 {
		n.quotas.mu.Lock()
		n.quotas.pool.MarkEmpty(team.Name, zone, clock.Boot(n.clock).Add(a.Wait))
		n.quotas.mu.Unlock()
	}
	return a.Tokens, ok
}

// askOwner asks the owner of one zone, and whom that one takes for the owner if it isn't.
func (n *Node) askOwner(ctx context.Context, zone string, team *desired.Team, want int) (quotaAnswer, bool) {
	question := quotaQuestion{Team: team.Name, Want: want, Zone: n.cfg.Zone}
	host := n.roles.Load().rings[zone].OwnerOf(team.Name)
	for range 2 {
		if host == n.ip {
			a := n.grant(&question)
			return a, a.Owner == ""
		}
		if host == "" || !n.peer(host).reachable() || n.quotas.isSilent(n.clock.Now(), host) {
			return quotaAnswer{}, false
		}
		n.metrics.count("quota_questions_total", "near", strconv.FormatBool(zone == n.cfg.Zone))
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
