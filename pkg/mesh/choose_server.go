package mesh

import (
	"math"
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// The constants of the choice.
const (
	// crowded is the use from which on servers of other zones are looked at: below it a request waits for
	// nothing, and bytes between zones are paid for.
	crowded = 0.95
	// farPenalty is the score by which a server of another zone has to be better.
	farPenalty = 0.4
	// slowRatio is how much slower than those of other zones a near server may be: the servers of one
	// service differ in speed by about that much when all is well.
	slowRatio = 4.0
	// overUse weighs use beyond all slots, where requests wait.
	overUse = 4.0
)

// comparison says what servers are not compared by; the zero value compares them by all.
type comparison struct{ noZone, noPace, noSuccess bool }

// compared returns what this node's settings switch off.
func (n *Node) compared() comparison {
	return comparison{noZone: n.off[settings.NearFirst], noPace: n.off[settings.Pace], noSuccess: n.off[settings.Success]}
}

// standard is the best that is believed of any server of a service; the others are measured against it.
type standard struct {
	comparison
	success float64
	pace    float64
}

func standardOf(now time.Time, list []*peer, c comparison) standard {
	s := standard{comparison: c, success: minSuccessRate}
	for _, p := range list {
		e := p.loadEstimate(now)
		s.success = max(s.success, e.success)
		if e.slowdown > 0 && (s.pace == 0 || e.slowdown < s.pace) {
			s.pace = e.slowdown
		}
	}
	return s
}

// slowness is how many times longer than the fastest a server takes, at least 1.
func (s standard) slowness(e loadEstimate) float64 {
	if s.noPace || s.pace == 0 || e.slowdown == 0 {
		return 1
	}
	return e.slowdown / s.pace
}

// score is lower for a better server. One that fails fast looks idle, so its use counts as much more; a slow
// one gets fewer requests than its slots would take, since each holds the callers' slots too.
func (s standard) score(e loadEstimate) float64 {
	failing := s.success / e.success
	if s.noSuccess {
		failing = 1
	}
	return e.utilization*failing*failing*math.Sqrt(s.slowness(e)) + overUse*max(e.utilization-1, 0)
}

// choose returns the server to send to, or nil if all were tried or there is none. Servers that are set
// aside or stopping are taken only if there is no other, and those that have ended only if nothing was tried.
func choose(now time.Time, list []*peer, tried []*peer, c comparison) *peer {
	if len(list) == 0 {
		return nil
	}
	s := standardOf(now, list, c)
	for _, last := range []bool{false, true} {
		near, nearScore := s.best(now, list, tried, true, last)
		if near != nil && nearScore < crowded && s.slowness(near.loadEstimate(now)) < slowRatio {
			return near
		}
		far, farScore := s.best(now, list, tried, false, last)
		switch {
		case near == nil && far != nil:
			return far
		case near != nil && (far == nil || nearScore <= farScore+farPenalty):
			return near
		case far != nil:
			return far
		}
	}
	return nil
}

// open tells whether a peer may be sent to. One that has been stopping for a while refuses, and soon closes its
// connections: a request that crosses the close would count as lost.
func (p *peer) open(now time.Time, lastResort bool) bool {
	since, stopping := p.stoppingFor(now)
	if lastResort {
		return !stopping || since < peerServingTime
	}
	return !stopping && p.usable(now)
}

// anyStopping tells whether one of the peers is stopping.
func anyStopping(now time.Time, list []*peer) bool {
	return slices.ContainsFunc(list, func(p *peer) bool {
		_, stopping := p.stoppingFor(now)
		return stopping
	})
}

// best returns the best of a few servers taken at random, so that nodes with the same news don't all go to one. Each
// server is as likely to be among the few: the list is in the order of hosts, so those of one zone stand together, and
// neighbours of a random place would mostly be the first ones of a zone.
func (s standard) best(now time.Time, list, tried []*peer, near, lastResort bool) (*peer, float64) {
	var few peerSample
	for _, p := range list {
		if (p.sameZone.Load() || s.noZone) != near || slices.Contains(tried, p) || !p.open(now, lastResort) {
			continue
		}
		if len(tried) > 0 && p.isServerDown(now) {
			continue
		}
		few.add(p)
	}
	var found *peer
	var least float64
	for _, p := range few.shuffled() {
		if score := s.score(p.loadEstimate(now)); found == nil || score < least {
			found, least = p, score
		}
	}
	return found, least
}
