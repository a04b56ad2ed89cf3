package quota

import "time"

// TokenLifetime is how long a node may have a token in hand before it lapses. What is used in a window was given out in a time longer by
// this, so the longer it is the less the buckets may hold; and the shorter it is the more often nodes have to ask.
const TokenLifetime = 300 * time.Millisecond

// Limit is what a team may have run.
type Limit struct {
	Rate  float64 // requests a second
	Burst float64 // requests beyond that
}

// Config are the operator's bounds of how exactly limits are kept.
type Config struct {
	Window time.Duration // over which requests are counted; 0: limits aren't kept
	Excess float64       // share of the allowance that may run beyond it
	Slack  float64       // requests that may run beyond that
	Zones  int           // availability zones that share each limit
}

// Enabled tells whether limits are kept.
func (r Config) Enabled() bool { return r.Window > 0 }

// most returns how many requests may run in a window.
func (r Config) most(l Limit) float64 {
	return (1+r.Excess)*(l.Rate*r.Window.Seconds()+l.Burst) + r.Slack
}

// rate returns how many tokens a second the bucket of one zone gets. What the limit allows in a window is spread over it, its burst
// included: a team that always sends a little more than its rate is within its limit in every window.
func (r Config) rate(l Limit) float64 {
	even := l.Rate + l.Burst/r.Window.Seconds()
	return max(min(even, (r.most(l)-leastDepth*r.parts())/r.span()), 0) / r.parts()
}

// depth returns how many tokens the bucket of one zone holds at the most: what may run in a window beyond what comes in it.
func (r Config) depth(l Limit) float64 {
	return max(r.most(l)/r.parts()-r.rate(l)*r.span(), 1)
}

// leastDepth is kept for the depth of each zone's bucket: one that never held a whole token would never let anything in, and with
// one alone the tokens that come meanwhile are lost.
const leastDepth = 2.0

// span is the time in which the tokens that are used in a window were given out, in seconds.
func (r Config) span() float64 { return (r.Window + TokenLifetime).Seconds() }

func (r Config) parts() float64 { return float64(max(r.Zones, 1)) }
