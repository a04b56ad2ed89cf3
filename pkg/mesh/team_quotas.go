package mesh

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/quota"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// teamQuotas holds the quota tokens that this node may spend and the token buckets that it owns.
type teamQuotas struct {
	mu    sync.Mutex
	pool  quota.Pool
	owner quota.Owner
	// unresponsiveUntil has the owners that didn't answer, and until when they aren't queried again.
	unresponsiveUntil map[string]time.Time
}

// quotaConfig returns the operator's quota settings as the configuration of package quota.
func quotaConfig(m *settings.Mesh) quota.Config {
	return quota.Config{Window: m.QuotaWindow, Excess: m.QuotaExcess, Slack: m.QuotaSlack, Zones: len(m.Zones)}
}

const (
	// quotaRequestTimeout bounds a request to an owner. A client's request waits for it; a healthy owner answers within a few milliseconds.
	quotaRequestTimeout = 80 * time.Millisecond
	// ownerBackoff is how long an owner that didn't answer isn't queried again.
	ownerBackoff = 300 * time.Millisecond
)

// dropRemovedTeams drops the tokens of teams that a new desired state lacks.
func (n *Node) dropRemovedTeams(s *desired.State) {
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.pool.RetainTeams(func(team string) bool { return s.Team(team) != nil })
}

// markUnresponsive backs off an owner that didn't answer.
func (t *teamQuotas) markUnresponsive(now time.Time, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unresponsiveUntil == nil {
		t.unresponsiveUntil = make(map[string]time.Time)
	}
	t.unresponsiveUntil[host] = now.Add(ownerBackoff)
}

// isUnresponsive reports whether an owner is backed off.
func (t *teamQuotas) isUnresponsive(now time.Time, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, noted := t.unresponsiveUntil[host]
	if noted && !now.Before(until) {
		delete(t.unresponsiveUntil, host)
	}
	return noted && now.Before(until)
}

// quotaLimit returns a team's rate and burst.
func quotaLimit(t *desired.Team) quota.Limit { return quota.Limit{Rate: t.Rate, Burst: t.Burst} }

// countsAgainstQuota reports whether a request takes a token from its team's quota.
func (n *Node) countsAgainstQuota(q *request) bool {
	return q.team.HasQuota() && n.quotas.owner.Config.Enabled()
}

// takeQuotaToken takes one token from the quota of the request's team; it returns nil, or a refusal if no token is left. It runs before
// admission, so that requests over a quota don't count as overload.
func (n *Node) takeQuotaToken(ctx context.Context, q *request) *answer {
	if !n.countsAgainstQuota(q) {
		return nil
	}
	requestedAt := clock.BootNow(n.clock) // tokens expire while the VM is suspended, too
	n.quotas.mu.Lock()
	ok, want := n.quotas.pool.Take(requestedAt, q.team.Name)
	n.quotas.mu.Unlock()
	if ok {
		return nil
	}
	tokens, reached := n.requestTokens(ctx, q.team, want)
	for tokens == 0 && !reached && n.pollDuringStartup(ctx) {
		tokens, reached = n.requestTokens(ctx, q.team, 1) // a node that has just started doesn't know the owners yet
	}
	n.quotas.mu.Lock()
	n.quotas.pool.AddGranted(requestedAt, q.team.Name, tokens)
	n.quotas.mu.Unlock()
	if tokens > 0 {
		return nil
	}
	return n.overQuotaAnswer(q, reached)
}

// overQuotaAnswer returns the refusal of a request for which there is no token; reached reports whether an owner answered.
func (n *Node) overQuotaAnswer(q *request, reached bool) *answer {
	a := notRunAnswer(wire.ReasonQuota)
	if !reached {
		a = notRunAnswer(wire.ReasonNoOwner)
	}
	a.overloaded = true // the next tokens also go to other waiting requests
	n.callLog.Info("over quota", "request", q.id, "route", q.Route, "team", q.team.Name, "owner_heard", reached)
	return a
}

// returnQuotaToken returns the token of a request that wasn't admitted after all.
func (n *Node) returnQuotaToken(q *request) {
	if !n.countsAgainstQuota(q) {
		return
	}
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.pool.ReturnToken(clock.BootNow(n.clock), q.team.Name)
}

// requestTokens requests tokens from the owner in this zone, and if it has none from the owners in the other zones in random order. It returns
// the number of tokens, and whether any owner has answered now or a moment ago.
func (n *Node) requestTokens(ctx context.Context, team *desired.Team, want int) (tokens int, reached bool) {
	tokens, reached = n.requestTokensFromZone(ctx, n.cfg.Zone, team, want)
	if tokens > 0 {
		return tokens, true
	}
	zones := n.cfg.Mesh.Zones
	for _, i := range n.rnd().Perm(len(zones)) {
		if zones[i] == n.cfg.Zone {
			continue
		}
		// One token at a time, because tokens of another zone are meant for requests there.
		tokens, answered := n.requestTokensFromZone(ctx, zones[i], team, 1)
		reached = reached || answered
		if tokens > 0 {
			return tokens, true
		}
	}
	return 0, reached
}

// requestTokensFromZone requests tokens from the owner in one zone, unless it had none a moment ago. It returns the number of tokens, and
// whether the owner has answered now or a moment ago.
func (n *Node) requestTokensFromZone(ctx context.Context, zone string, team *desired.Team, want int) (tokens int, reached bool) {
	n.quotas.mu.Lock()
	mayHaveTokens := n.quotas.pool.MayHaveTokens(clock.BootNow(n.clock), team.Name, zone)
	n.quotas.mu.Unlock()
	if !mayHaveTokens {
		return 0, true
	}
	a, ok := n.requestTokensFromOwner(ctx, zone, team, want)
	if ok && a.Tokens == 0 {
		n.quotas.mu.Lock()
		n.quotas.pool.MarkEmpty(team.Name, zone, clock.BootNow(n.clock).Add(a.Wait))
		n.quotas.mu.Unlock()
	}
	return a.Tokens, ok
}

// requestTokensFromOwner requests tokens from the owner in one zone. If that node isn't the owner it tries once the one that the node names. It
// returns the response, and whether an owner gave it.
func (n *Node) requestTokensFromOwner(ctx context.Context, zone string, team *desired.Team, want int) (quotaResponse, bool) {
	req := quotaRequest{Team: team.Name, Want: want, Zone: n.cfg.Zone}
	host := n.roles.Load().quotaOwners[zone].OwnerOf(team.Name)
	for range 2 {
		if host == n.ip {
			res := n.grantTokens(&req)
			return res, res.Owner == ""
		}
		if host == "" || !n.peer(host).reachable() || n.quotas.isUnresponsive(n.clock.Now(), host) {
			return quotaResponse{}, false
		}
		n.metrics.count("quota_questions_total", "near", strconv.FormatBool(zone == n.cfg.Zone))
		var res quotaResponse
		if err := n.queryNode(ctx, host, quotaPath, quotaRequestTimeout, &req, &res); err != nil {
			if ctx.Err() == nil {
				n.quotas.markUnresponsive(n.clock.Now(), host)
			}
			return quotaResponse{}, false
		}
		if res.Owner == "" || res.Owner == host {
			return res, res.Owner == ""
		}
		host = res.Owner
	}
	return quotaResponse{}, false
}
