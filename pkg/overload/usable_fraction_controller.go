package overload

import (
	"math"
	"time"
)

// UsableFractionController computes which fraction of a server's slots the plan may count on. The cost of a request is
// learned, and learned wrong while many calls fail, as after a restart during an overload; the plan then admits several
// times too much, which the costs alone don't show. The controller lowers the fraction while the server's gate rejects
// requests, and raises it slowly again. Conversely, a service that rejects or fails its work is planned as full although
// its slots are free, since requests end before they have made all of their calls: the controller then raises the
// fraction above 1. Its zero value has a fraction of 1.
type UsableFractionController struct {
	withheld     float64   // fraction of the slots that the plan may not count on
	logGain      float64   // logarithm of the factor that raises the usable slots, 0 or more
	firstUse     time.Time // when the server was first used
	lastObserved time.Time
}

// GateLoad is the recent load at a server's gate.
type GateLoad struct {
	RejectedShare float64 // share of the requests rejected because the queue was full
	Utilization   float64 // slots in use plus queued requests, as a share of the slots
	Bottleneck    bool    // the plan has this service as a bottleneck
	// CallsPerRequest is the number of runs at the service that one request causes; 0 stands for 1.
	CallsPerRequest float64
}

// Parameters of the controller.
const (
	// toleratedRejections is the share of rejected requests without effect: another server takes what one rejects, and since
	// calls of old requests go first, it is new requests that fail. It is for requests that run at the service once.
	toleratedRejections = 0.25
	// maxCallsPerRequest bounds the calls that lower the tolerated share: beyond, the noise of the counts exceeds it.
	maxCallsPerRequest = 20
	// withholdRate is how fast usable slots are withheld, as a share a second at a gate that rejects everything. The effect
	// shows after about a second: reports have to spread and admitted requests have to end.
	withholdRate = 0.8
	// restoreRate is how fast withheld slots are restored, as a share of all slots a second. idleRestoreRate applies while
	// slots are free: then nothing is rejected any more, whatever the counts of the last seconds say.
	restoreRate     = 0.25
	idleRestoreRate = 1.5
	// minFraction is always usable, so that requests keep running from which costs are learned.
	minFraction = 0.08
	// learningTime is the time after the server's first use in which nothing is withheld: rejections then come from costs
	// that aren't learned yet and soon will be. It counts from the first use, since the desired state may arrive long after
	// the start.
	learningTime = 3 * time.Second
	// maxStep bounds the time that one observation counts for.
	maxStep = time.Second
	// lowUtilization is the utilization below which a bottleneck server has free slots, and fullUtilization the one that the
	// gain aims at.
	lowUtilization  = 0.7
	fullUtilization = 0.9
	// minUtilization bounds how far from full one observation may show a server.
	minUtilization = 0.3
	// maxGain is the highest factor by which usable slots are raised.
	maxGain = 3.0
	// gainTime is the time in which the gain goes all the way to where the server would be full, up or down. gainDecayTime is
	// the time in which it decays by a factor of e once it isn't needed any more.
	gainTime      = 1500 * time.Millisecond
	gainDecayTime = 500 * time.Millisecond
)

// Observe updates the fraction with the gate's recent load.
func (c *UsableFractionController) Observe(now time.Time, g GateLoad) {
	step := min(max(now.Sub(c.lastObserved), 0), maxStep)
	if c.lastObserved.IsZero() {
		step = 0
	}
	c.lastObserved = now
	if c.firstUse.IsZero() && g.Utilization > 0 {
		c.firstUse = now
	}
	if c.firstUse.IsZero() || now.Sub(c.firstUse) < learningTime {
		return
	}
	c.adjustGain(step, g)
	switch {
	case g.Utilization < lowUtilization:
		c.withheld = max(c.withheld-idleRestoreRate*step.Seconds(), 0)
	case g.RejectedShare > g.toleratedRejections():
		left := (1 - c.withheld) * math.Exp(-withholdRate*g.excessRejections()*step.Seconds())
		c.withheld = min(1-left, 1-minFraction)
	default:
		c.withheld = max(c.withheld-g.restoreRate()*step.Seconds(), 0)
	}
}

// toleratedRejections returns the share of rejected calls without effect: with several calls a request, the one at which as
// many whole requests get through as with one call.
func (g GateLoad) toleratedRejections() float64 {
	if g.CallsPerRequest <= 1 {
		return toleratedRejections
	}
	return 1 - math.Pow(1-toleratedRejections, 1/min(g.CallsPerRequest, maxCallsPerRequest))
}

// excessRejections returns the share of rejected requests by which slots are withheld: with several calls a request, what
// exceeds the tolerated share. That share is small, and in proportion to all rejections more was withheld than they cost.
func (g GateLoad) excessRejections() float64 {
	if g.CallsPerRequest <= 1 {
		return g.RejectedShare
	}
	return g.RejectedShare - g.toleratedRejections()
}

// restoreRate returns how fast withheld slots are restored. With several calls a request it falls to 0 towards the tolerated
// share: that is soon reached, and a full rate would restore in a second what it took several to withhold.
func (g GateLoad) restoreRate() float64 {
	if g.CallsPerRequest <= 1 {
		return restoreRate
	}
	return restoreRate * (1 - g.RejectedShare/g.toleratedRejections())
}

// adjustGain raises the usable slots while the plan has the server as full and it isn't.
func (c *UsableFractionController) adjustGain(step time.Duration, g GateLoad) {
	switch {
	case !g.Bottleneck || g.RejectedShare > g.toleratedRejections():
		c.logGain *= math.Exp(-step.Seconds() / gainDecayTime.Seconds())
	case g.Utilization < lowUtilization || g.Utilization > fullUtilization:
		c.logGain += math.Log(fullUtilization/max(g.Utilization, minUtilization)) * step.Seconds() / gainTime.Seconds()
		c.logGain = min(max(c.logGain, 0), math.Log(maxGain))
	}
}

// UsableFraction returns the fraction of the server's slots that the plan may count on; it may be above 1.
func (c *UsableFractionController) UsableFraction() float64 {
	return (1 - c.withheld) * math.Exp(c.logGain)
}
