package gate

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/advertised"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// The bounds of a rate limit.
const (
	// burstTime is the time whose requests may start at once after a pause. A server counts over seconds, and without a burst
	// a moment without requests would leave a part of the rate unused.
	burstTime = 100 * time.Millisecond
	// minRate is the lowest enforced rate a second: only the answer to a request shows that a server no longer limits its
	// rate.
	minRate = 1.0
	// waitTokens and maxTokenWait limit the wait for a token: at a low rate even the first ticket in the queue waits for longer
	// than it would for a slot.
	waitTokens   = 1.5
	maxTokenWait = 150 * time.Millisecond
	// tokenTolerance is the part of a token that may be lacking, since times are rounded.
	tokenTolerance = 1e-6
)

// rateBucket is the token bucket of a server's rate limit; the zero value doesn't limit.
type rateBucket struct {
	limit   advertised.RateLimit
	tokens  float64
	updated time.Time
}

// set sets the limit. The bucket begins empty: requests that started before count against the new limit too.
func (b *rateBucket) set(now time.Time, l advertised.RateLimit) {
	b.refill(now)
	if !b.limit.Advertised {
		b.tokens = 0
	}
	b.limit = l
	b.tokens = min(b.tokens, b.depth())
}

// rate returns the enforced rate a second.
func (b *rateBucket) rate() float64 { return max(b.limit.PerSecond, minRate) }

// depth returns the most tokens that the bucket holds.
func (b *rateBucket) depth() float64 { return max(b.rate()*burstTime.Seconds(), 1) }

// refill adds the tokens of the time since the last update.
func (b *rateBucket) refill(now time.Time) {
	if d := now.Sub(b.updated); d > 0 {
		b.tokens = min(b.tokens+d.Seconds()*b.rate(), b.depth())
		b.updated = now
	}
}

// maxWait returns how long a ticket may wait for a token.
func (b *rateBucket) maxWait() time.Duration {
	if !b.limit.Advertised {
		return 0
	}
	return min(time.Duration(waitTokens/b.rate()*float64(time.Second)), maxTokenWait)
}

// take takes the token of one request; it returns false if there is none yet.
func (b *rateBucket) take(now time.Time) bool {
	if !b.limit.Advertised {
		return true
	}
	b.refill(now)
	if b.tokens < 1-tokenTolerance {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

// wait returns the time until the bucket has had tokens for n requests.
func (b *rateBucket) wait(now time.Time, n int) time.Duration {
	if !b.limit.Advertised {
		return 0
	}
	b.refill(now)
	return time.Duration(max(float64(n)-b.tokens, 0) / b.rate() * float64(time.Second))
}

// SetRateLimit sets the rate limit that the server advertises, or none, and starts queued tickets that a higher one allows.
func (g *Gate) SetRateLimit(now time.Time, l advertised.RateLimit) {
	g.rate.set(now, l)
	g.StartQueued(now)
}

// RateState is a snapshot of a Gate's rate limit; the zero value is that of a server without one.
type RateState struct {
	Limit     advertised.RateLimit
	PerSecond float64       // the enforced rate
	Wait      time.Duration // until the rate allows one more root request to be queued
}

// RateLimit returns the state of the server's rate limit.
func (g *Gate) RateLimit(now time.Time) RateState {
	if !g.rate.limit.Advertised {
		return RateState{}
	}
	wait := g.rate.wait(now, len(g.queue)+1) - max(minRootWaitLimit, g.rate.maxWait())
	return RateState{Limit: g.rate.limit, PerSecond: g.rate.rate(), Wait: max(wait, 0)}
}

// NextStart returns the time until the rate limit allows the first queued ticket to start, or a held slot is expected to be free; ok is false if
// no ticket is waiting for that.
func (g *Gate) NextStart(now time.Time) (wait time.Duration, ok bool) {
	if len(g.queue) == 0 {
		return 0, false
	}
	if !g.hasFreeSlot(now) {
		return g.held.nextFree(now)
	}
	return g.rate.wait(now, 1), true
}

// rejection returns the decision to reject a ticket that would have had to wait too long at an index of the queue.
func (g *Gate) rejection(now time.Time, index int) Decision {
	if wait := g.rate.wait(now, index+1); wait > g.slotWait(now, index) {
		return Decision{Reason: wire.ReasonRateLimit, RetryAfter: wait}
	}
	return Decision{Reason: wire.ReasonQueue}
}
