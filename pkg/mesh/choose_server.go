package mesh

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The constants of the choice.
const (
	// crowded is the use from which on servers of other zones are looked at: below it a request waits for
	// nothing, and bytes between zones are paid for.
	crowded = 0.75
	// farPenalty is the use by which a server of another zone has to be better.
	farPenalty = 0.15
)

// choose returns the server to send to, or nil if all were tried or there is none. Servers that are set
// aside or stopping are taken only if there is no other.
func choose(now time.Time, list []*peer, tried []*peer) *peer {
	most := leastSuccess
	for _, p := range list {
		_, success := p.estimate(now)
		most = max(most, success)
	}
	for _, last := range []bool{false, true} {
		near, nearUse := best(now, list, tried, most, true, last)
		if near != nil && nearUse < crowded {
			return near
		}
		far, farUse := best(now, list, tried, most, false, last)
		switch {
		case near == nil && far != nil:
			return far
		case near != nil && (far == nil || nearUse <= farUse+farPenalty):
			return near
		case far != nil:
			return far
		}
	}
	return nil
}

// best returns the less used of two servers taken at random, so that nodes with the same news don't all
// go to one.
func best(now time.Time, list, tried []*peer, most float64, near, lastResort bool) (*peer, float64) {
	var found *peer
	var least float64
	seen := 0
	start := 0
	if len(list) > 1 {
		start = rand.IntN(len(list))
	}
	for i := range list {
		p := list[(start+i)%len(list)]
		if p.near.Load() != near || slices.Contains(tried, p) {
			continue
		}
		if !lastResort && (p.stopping.Load() || !p.usable(now)) {
			continue
		}
		use, success := p.estimate(now)
		// A server that fails fast looks idle: its use counts as much more, against the best of its service.
		use *= (most / success) * (most / success)
		if found == nil || use < least {
			found, least = p, use
		}
		if seen++; seen == looked {
			break
		}
	}
	return found, least
}

// looked is how many servers of a zone are compared.
const looked = 3
