package mesh

import (
	"math/rand/v2"
	"time"

	"github.com/rockspoke/rockspoke/pkg/overload"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// admit decides whether a root request is taken in.
func (n *Node) admit(q *request, left time.Duration) bool {
	share, kind := overload.Share{Fresh: 1, Returning: 1}, q.kind()
	if p := n.plan.Load(); p != nil && !n.off[settings.RootAdmission] {
		if s, ok := p.shares[kind]; ok {
			share = s
		}
	}
	ok, returning := n.stats.admit(n.clock.Now(), kind, left, share)
	if !ok {
		n.callLog.Info("not admitted", "request", q.id, "route", q.Route, "returning", returning,
			"fresh_share", round(share.Fresh), "returning_share", round(share.Returning))
	}
	return ok
}

// retryDeadlineShare of the time that a client has left is the longest after which it comes back as told.
const retryDeadlineShare = 1.0 / 3

// retrySpreadDivisor spreads those who are told the same time over a part of it.
const retrySpreadDivisor = 4

// retryDelay returns when a refused client should try again: an overload takes its time to pass, so as late
// as the client will still come, spread out so that not all come at once.
func (n *Node) retryDelay(q *request, a *answer) time.Duration {
	if a.retryAfter > 0 {
		return a.retryAfter + rand.N(max(a.retryAfter/retrySpreadDivisor, 1))
	}
	most := time.Duration(float64(q.clientDeadline.Sub(n.clock.Now())) * retryDeadlineShare)
	if !a.overloaded {
		most = min(most, 2*minRetryDelay)
	}
	return max(most/2+rand.N(max(most/2, 1)), time.Millisecond)
}
