package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/logging"
	"github.com/rockspoke/rockspoke/pkg/overload"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// admit decides whether a root request is admitted. left is the time until its deadline.
func (n *Node) admit(q *request, left time.Duration) bool {
	share, kind := overload.Share{Fresh: 1, Returning: 1}, q.kind()
	if p := n.plan.Load(); p != nil && !n.off[settings.RootAdmission] {
		if s, ok := p.shares[kind]; ok {
			share = s
		}
	}
	team := n.fairTeam(q)
	ok, returning := n.stats.admit(n.clock.Now(), kind, team, left, share)
	if !ok && team != "" {
		n.metrics.count("team_requests_not_admitted_total", "team", team)
	}
	if !ok && !logging.IsLimited(n.callLog, "not admitted") {
		n.callLog.Info("not admitted", "request", q.id, "route", q.Route, "returning", returning, "team", team,
			"fresh_share", round(share.Fresh), "returning_share", round(share.Returning))
	}
	return ok
}

// fairTeam returns the name of the team among which admitted requests are divided, or an empty name if the request has none.
func (n *Node) fairTeam(q *request) string {
	if q.team == nil || n.off[settings.TeamShares] {
		return ""
	}
	return q.team.Name
}

// retryDeadlineShare is the share of a client's remaining time that bounds the delay it is given. Clients don't come
// back after longer delays.
const retryDeadlineShare = 1.0 / 3

// retrySpreadDivisor sets the jitter on a fixed delay: up to delay/retrySpreadDivisor is added, so that clients that
// got the same delay don't retry together.
const retrySpreadDivisor = 4

// retryDelay returns the delay after which a refused client should retry. An overload takes a while to pass, so the
// delay is as long as the client will wait for, with jitter so that clients don't retry together.
func (n *Node) retryDelay(q *request, a *answer) time.Duration {
	maxDelay := time.Duration(float64(q.clientDeadline.Sub(n.clock.Now())) * retryDeadlineShare)
	if a.retryAfter > 0 {
		spread := a.retryAfter / retrySpreadDivisor
		if a.reason == wire.ReasonRateLimit {
			spread = max(spread, maxDelay-a.retryAfter) // the rate allows them one by one
		}
		return a.retryAfter + n.randomDuration(max(spread, 1))
	}
	if !a.overloaded {
		maxDelay = min(maxDelay, 2*minRetryDelay)
	}
	return max(maxDelay/2+n.randomDuration(max(maxDelay/2, 1)), time.Millisecond)
}
