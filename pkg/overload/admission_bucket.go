package overload

import "time"

const (
	// minBurst is the smallest bucket size in admissions. Requests don't arrive evenly, so a smaller bucket loses part of the
	// allowed rate: with half of the requests admitted, a bucket of two loses a seventh and one of four a thirtieth.
	minBurst = 4.0
	// burstTime sets the bucket size of busy flows: the admissions allowed in this time.
	burstTime = 300 * time.Millisecond
)

// AdmissionBucket is a token bucket that admits a share of a flow. It refills at the share times the demand, rather than by
// the share of each request: the share is capacity divided by a demand counted over a second, so by itself it leaves slots
// empty when demand falls and admits too much when it rises, while the product is right in both cases. The zero value is
// an empty bucket; it isn't safe for concurrent use.
type AdmissionBucket struct {
	tokens     float64
	lastRefill time.Time
}

// Admit reports whether a request is admitted and takes its token. The demand must already include the request.
func (a *AdmissionBucket) Admit(now time.Time, share float64, demand *DecayingRate) bool {
	if share >= 1 {
		a.tokens, a.lastRefill = 0, now
		return true
	}
	a.refill(now, share, demand)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// refill adds the tokens earned since the last request: while the demand isn't reliable yet, the share itself as one
// request's part.
func (a *AdmissionBucket) refill(now time.Time, share float64, demand *DecayingRate) {
	since := now.Sub(a.lastRefill)
	a.lastRefill = now
	rate := share * demand.PerSecond(now)
	added := rate * since.Seconds()
	if !demand.reliable() {
		added = share
	}
	a.tokens = min(a.tokens+added, max(minBurst, rate*burstTime.Seconds()))
}
