package mesh

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/pace"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// Constants of the choice of a server.
const (
	// crowdedUse is the use from which servers of other zones are considered. Below it requests don't queue, and
	// traffic between zones is charged for.
	crowdedUse = 0.95
	// otherZonePenalty is how much lower the score of a server of another zone has to be for it to be chosen.
	otherZonePenalty = 0.4
	// maxNearSlowdown is how many times slower than the fastest server a server of this zone may be before other zones
	// are considered. Healthy servers of one service differ in speed by about that much.
	maxNearSlowdown = 4.0
	// maxPacedNearSlowdown is the same for servers that tell their pace, relative to the shortest slot hold time of any server: up to
	// it no server of another zone ends the request by more than its hold time earlier.
	maxPacedNearSlowdown = 2.0
	// overUseWeight weighs use beyond all slots, where requests queue.
	overUseWeight = 4.0
)

// comparisonOptions says which factors a comparison of servers ignores; the zero value ignores none.
type comparisonOptions struct {
	ignoreZone, ignoreSlowdown, ignoreSuccess bool
	asksFull                                  bool       // a server at its rate limit may be chosen if there is no other
	random                                    *rand.Rand // nil: the global source
	// usualHold and callShare are those of the request's kind, and timeLeft is its time limit; 0 if unknown.
	usualHold, timeLeft time.Duration
	callShare           float64
}

// rnd returns the source of random numbers.
func (c comparisonOptions) rnd() *rand.Rand { return orGlobal(c.random) }

// comparisonSettings returns the factors that this node's settings switch off.
func (n *Node) comparisonSettings() comparisonOptions {
	return comparisonOptions{
		ignoreZone: n.off[settings.PreferOwnZone], ignoreSlowdown: n.off[settings.SlowdownFactor], ignoreSuccess: n.off[settings.SuccessRate],
		random: n.random,
	}
}

// baseline is the best success share and slowdown factor of any server of a service. Servers are scored relative to it.
type baseline struct {
	comparisonOptions
	success  float64
	slowdown float64
	paced    bool // a server of the service tells its pace, so that they are compared by the time to the end of the request
}

// newBaseline returns the baseline of the servers in the list.
func newBaseline(now time.Time, list []*peer, c comparisonOptions) baseline {
	s := baseline{comparisonOptions: c, success: minSuccessRate}
	for _, p := range list {
		e := p.loadEstimate(now)
		s.success = max(s.success, e.success)
		if e.slowdown > 0 && (s.slowdown == 0 || e.slowdown < s.slowdown) {
			s.slowdown = e.slowdown
		}
		s.paced = s.paced || e.pace > 0
	}
	s.paced = s.paced && !s.ignoreSlowdown
	return s
}

// relativeSlowdown returns how many times slower than the fastest server a server is, at least 1; it is 1 if either is
// unknown.
func (s baseline) relativeSlowdown(e loadEstimate) float64 {
	if s.ignoreSlowdown || s.slowdown == 0 || e.slowdown == 0 {
		return 1
	}
	return e.slowdown / s.slowdown
}

// score returns a server's score; lower is better. A server that fails fast looks idle, so failures multiply its use. A
// slow server gets fewer requests than its slots could take, since each request also holds the slots of its callers.
func (s baseline) score(e loadEstimate) float64 {
	failing := s.success / e.success
	if s.ignoreSuccess {
		failing = 1
	}
	if s.paced {
		return failing * failing * pace.CompletionTime(s.slowdownOf(e), e.utilization)
	}
	return e.utilization*failing*failing*math.Sqrt(s.relativeSlowdown(e)) + overUseWeight*max(e.utilization-1, 0)
}

// chooseServer returns the server to send to, or nil if there is none or all were tried. Servers that are backed off or
// stopping are chosen only if there is no other, and crashed ones only if nothing was tried yet. Servers that say that they
// are leaving are never chosen.
func chooseServer(now time.Time, list []*peer, tried []*peer, c comparisonOptions) *peer {
	if len(list) == 0 {
		return nil
	}
	s := newBaseline(now, list, c)
	for _, lastResort := range []bool{false, true} {
		near, nearScore := s.bestOfSample(now, list, tried, true, lastResort)
		if near != nil && s.isNearEnough(near.loadEstimate(now), nearScore) {
			return near
		}
		far, farScore := s.bestOfSample(now, list, tried, false, lastResort)
		switch {
		case near == nil && far != nil:
			return far
		case near != nil && (far == nil || nearScore <= farScore+s.zonePenalty(now, near, far, nearScore)):
			return near
		case far != nil:
			return far
		}
	}
	return nil
}

// isNearEnough reports whether the best sampled server of this zone is chosen without a look at other zones.
func (s baseline) isNearEnough(near loadEstimate, score float64) bool {
	if s.paced {
		return near.utilization < crowdedUse && score <= maxPacedNearSlowdown*s.slowdown && s.endsInTime(score)
	}
	return score < crowdedUse && s.relativeSlowdown(near) < maxNearSlowdown
}

// zonePenalty returns how much lower the score of the other zone's server has to be for it to be chosen.
func (s baseline) zonePenalty(now time.Time, near, far *peer, nearScore float64) float64 {
	switch {
	case !s.paced:
		return otherZonePenalty
	case !s.endsInTime(nearScore):
		return 0
	}
	hold := s.slowdownOf(far.loadEstimate(now))
	if near.loadEstimate(now).utilization < crowdedUse {
		return hold
	}
	return otherZonePenalty * hold
}

// slowdownOf returns the expected slot hold time of the request at a server, relative to that of its kind at all servers.
func (s baseline) slowdownOf(e loadEstimate) float64 {
	switch {
	case e.slowdown == 0:
		return 1
	case e.pace == 0:
		return e.slowdown
	}
	return e.slowdown / e.pace * pace.Factor(e.pace, s.callShare)
}

// endsInTime reports whether a request with that score is expected to end within its time limit.
func (s baseline) endsInTime(score float64) bool {
	return s.timeLeft == 0 || time.Duration(score*float64(s.usualHold)) < s.timeLeft
}

// acceptsRequests reports whether requests may be sent to the peer; as a last resort a backed off peer and one that
// began to stop a short while ago count too. A peer that has been stopping for longer refuses requests and soon closes
// its connections, and a request that crosses the close would count as lost.
func (p *peer) acceptsRequests(now time.Time, lastResort bool) bool {
	if p.isLeaving() {
		return false
	}
	since, stopping := p.stoppingFor(now)
	if lastResort {
		return !stopping || since < peerServingTime
	}
	return !stopping && p.usable(now)
}

// shortestFullTime returns the shortest time after which the rate limit of one of the peers' servers allows a request, or 0 if
// none of them is at its limit.
func shortestFullTime(now time.Time, list []*peer) time.Duration {
	var shortest time.Duration
	for _, p := range list {
		if wait, full := p.fullFor(now); full && !p.isLeaving() && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

// anyStopping reports whether one of the peers is stopping.
func anyStopping(now time.Time, list []*peer) bool {
	return slices.ContainsFunc(list, func(p *peer) bool {
		_, stopping := p.stoppingFor(now)
		return stopping
	})
}

// bestOfSample returns the best of a small random sample of servers and its score, or nil. Sampling keeps nodes with
// the same information from all choosing the same server. Every server is equally likely to be sampled: the list is
// ordered by host, so the servers of a zone are adjacent, and a sample of neighbours of a random position would mostly
// hold the first servers of a zone.
func (s baseline) bestOfSample(now time.Time, list, tried []*peer, near, lastResort bool) (*peer, float64) {
	var sample peerSample
	for _, p := range list {
		if (p.sameZone.Load() || s.ignoreZone) != near || slices.Contains(tried, p) || !p.acceptsRequests(now, lastResort) {
			continue
		}
		if len(tried) > 0 && p.isServerDown(now) {
			continue
		}
		if _, full := p.fullFor(now); full && !(lastResort && s.asksFull) {
			continue
		}
		sample.add(s.rnd(), p)
	}
	var best *peer
	var bestScore float64
	for _, p := range sample.shuffled(s.rnd()) {
		if score := s.score(p.loadEstimate(now)); best == nil || score < bestScore {
			best, bestScore = p, score
		}
	}
	return best, bestScore
}
