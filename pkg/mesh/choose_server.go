package mesh

import (
	"math"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// The constants of the choice.
const (
	// crowdedUse is the use from which on servers of other zones are looked at: below it a request waits for
	// nothing, and bytes between zones are paid for.
	crowdedUse = 0.95
	// otherZonePenalty is the score by which a server of another zone has to be better.
	otherZonePenalty = 0.4
	// maxNearSlowdown is how much slower than those of other zones a near server may be: the servers of one
	// service differ in speed by about that much when all is well.
	maxNearSlowdown = 4.0
	// overUseWeight weighs use beyond all slots, where requests wait.
	overUseWeight = 4.0
)

// comparisonOptions says what servers are not compared by; the zero value compares them by all.
type comparisonOptions struct{ ignoreZone, ignoreSlowdown, ignoreSuccess bool }

// compared returns what this node's settings switch off.
func (n *Node) comparisonOptions() comparisonOptions {
	return comparisonOptions{ignoreZone: n.off[settings.NearFirst], ignoreSlowdown: n.off[settings.Pace], ignoreSuccess: n.off[settings.Success]}
}

// standard is the best that is believed of any server of a service; the others are measured against it.
type baseline struct {
	comparisonOptions
	success  float64
	slowdown float64
}

func newBaseline(now time.Time, list []*peer, c comparisonOptions) baseline {
	s := baseline{comparisonOptions: c, success: leastSuccess}
	for _, p := range list {
		e := p.estimate(now)
		s.success = max(s.success, e.success)
		if e.pace > 0 && (s.slowdown == 0 || e.pace < s.slowdown) {
			s.slowdown = e.pace
		}
	}
	return s
}

// slowness is how many times longer than the fastest a server takes, at least 1.
func (s baseline) relativeSlowdown(e estimate) float64 {
	if s.ignoreSlowdown || s.slowdown == 0 || e.pace == 0 {
		return 1
	}
	return e.pace / s.slowdown
}

// score is lower for a better server. One that fails fast looks idle, so its use counts as much more; a slow
// one gets fewer requests than its slots would take, since each holds the callers' slots too.
func (s baseline) score(e estimate) float64 {
	failing := s.success / e.success
	if s.ignoreSuccess {
		failing = 1
	}
	return e.use*failing*failing*math.Sqrt(s.relativeSlowdown(e)) + overUseWeight*max(e.use-1, 0)
}

// choose returns the server to send to, or nil if all were tried or there is none. Servers that are set
// aside or stopping are taken only if there is no other, and those that have ended only if nothing was tried.
func chooseServer(now time.Time, list []*peer, tried []*peer, c comparisonOptions) *peer {
	if len(list) == 0 {
		return nil
	}
	s := newBaseline(now, list, c)
	for _, last := range []bool{false, true} {
		near, nearScore := s.bestOfSample(now, list, tried, true, last)
		if near != nil && nearScore < crowdedUse && s.relativeSlowdown(near.estimate(now)) < maxNearSlowdown {
			return near
		}
		far, farScore := s.bestOfSample(now, list, tried, false, last)
		switch {
		case near == nil && far != nil:
			return far
		case near != nil && (far == nil || nearScore <= farScore+otherZonePenalty):
			return near
		case far != nil:
			return far
		}
	}
	return nil
}

// open tells whether a peer may be sent to. One that has been stopping for a while refuses, and soon closes its
// connections: a request that crosses the close would count as lost.
func (p *peer) acceptsRequests(now time.Time, lastResort bool) bool {
	since, stopping := p.stopsFor(now)
	if lastResort {
		return !stopping || since < servingPeers
	}
	return !stopping && p.usable(now)
}

// anyStopping tells whether one of the peers is stopping.
func anyStopping(now time.Time, list []*peer) bool {
	return slices.ContainsFunc(list, func(p *peer) bool {
		_, stopping := p.stopsFor(now)
		return stopping
	})
}

// best returns the best of a few servers taken at random, so that nodes with the same news don't all go to one. Each
// server is as likely to be among the few: the list is in the order of hosts, so those of one zone stand together, and
// neighbours of a random place would mostly be the first ones of a zone.
func (s baseline) bestOfSample(now time.Time, list, tried []*peer, near, lastResort bool) (*peer, float64) {
	var few peerSample
	for _, p := range list {
		if (p.near.Load() || s.ignoreZone) != near || slices.Contains(tried, p) || !p.acceptsRequests(now, lastResort) {
			continue
		}
		if len(tried) > 0 && p.gone(now) {
			continue
		}
		few.add(p)
	}
	var found *peer
	var least float64
	for _, p := range few.shuffled() {
		if score := s.score(p.estimate(now)); found == nil || score < least {
			found, least = p, score
		}
	}
	return found, least
}
