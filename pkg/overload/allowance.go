package overload

import "time"

const (
	// leastAllowed is how many admissions of a flow can be saved up at the least: requests don't come evenly, and with fewer
	// a part of what is allowed is lost. With one half of the requests let in, two would lose a seventh, four a thirtieth.
	leastAllowed = 4.0
	// savedTime is the time for which admissions are saved up where many come.
	savedTime = 300 * time.Millisecond
)

// AdmissionBucket lets in a flow's share as a rate, not as one of so many requests: the share is what there is room for divided
// by a demand that was counted over a second. Where the demand falls, room would stay empty until that is known, and where it
// rises too much would be let in. The share times the demand is right in both cases. Its zero value has nothing saved up; it isn't safe for concurrent use.
type AdmissionBucket struct {
	saved float64
	last  time.Time
}

// Admit tells whether a request may come in, by the share and the flow's demand, which counts the request already.
func (a *AdmissionBucket) Admit(now time.Time, share float64, demand *DecayingRate) bool {
	if share >= 1 {
		a.saved, a.last = 0, now
		return true
	}
	a.save(now, share, demand)
	if a.saved < 1 {
		return false
	}
	a.saved--
	return true
}

// save adds what was allowed since the last request. While little is known of the demand it is a share of each request.
func (a *AdmissionBucket) save(now time.Time, share float64, demand *DecayingRate) {
	since := now.Sub(a.last)
	a.last = now
	rate := share * demand.PerSecond(now)
	added := rate * since.Seconds()
	if !demand.known() {
		added = share
	}
	a.saved = min(a.saved+added, max(leastAllowed, rate*savedTime.Seconds()))
}
