package quota

import "time"

// TokenLifetime is how long a node may hold a granted token. The tokens that are used in a window were granted in a time longer by
// this, so with a longer lifetime the buckets may hold less, and with a shorter one nodes have to query more often.
const TokenLifetime = 300 * time.Millisecond

// Limit is a team's limit of requests.
type Limit struct {
	Rate  float64 // requests a second
	Burst float64 // requests in a window beyond the rate
}

// Config holds the operator's settings of how exactly limits are enforced.
type Config struct {
	Window time.Duration // over which requests are counted; 0: limits aren't enforced
	Excess float64       // fraction of the limit that may run beyond it
	Slack  float64       // number of requests that may run beyond that
	Zones  int           // availability zones that share each limit
}

// Enabled reports whether limits are enforced.
func (r Config) Enabled() bool { return r.Window > 0 }

// allowance returns how many requests may run in a window, tolerances included.
func (r Config) allowance(l Limit) float64 {
	return (1+r.Excess)*(l.Rate*r.Window.Seconds()+l.Burst) + r.Slack
}

// rate returns how many tokens a second the bucket of one zone accrues. What the limit allows in a window is spread over it, burst
// included: a team that always sends a little more than its rate is within its limit in every window.
func (r Config) rate(l Limit) float64 {
	even := l.Rate + l.Burst/r.Window.Seconds()
	return max(min(even, (r.allowance(l)-minDepth*r.zoneCount())/r.span()), 0) / r.zoneCount()
}

// depth returns the capacity of one zone's bucket in tokens: what may run in a window beyond the tokens that accrue in it.
func (r Config) depth(l Limit) float64 {
	return max(r.allowance(l)/r.zoneCount()-r.rate(l)*r.span(), 1)
}

// minDepth is the least depth of each zone's bucket that rate leaves room for. A bucket that never held a whole token would admit nothing,
// and one that holds only one loses the tokens that accrue meanwhile.
const minDepth = 2.0

// span returns the time in which the tokens that are used in a window were granted, in seconds.
func (r Config) span() float64 { return (r.Window + TokenLifetime).Seconds() }

func (r Config) zoneCount() float64 { return float64(max(r.Zones, 1)) }
