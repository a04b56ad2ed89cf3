package routing

import (
	"math/rand/v2"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// Group holds the servers that one target of a policy selects, split into those in the caller's zone and the others.
// A Group of weight 0 gets no calls.
type Group struct {
	Weight     int
	SameZone   []*Server
	OtherZones []*Server
}

// Outcome says whether Pick found a server, and if not, why.
type Outcome uint8

// The outcomes of Pick.
const (
	Picked     Outcome = iota + 1
	BelowLevel         // there are servers, but the priority is below the admission level of each
	NoServer           // there is no server that calls may be sent to
)

// Pick chooses a server for a call of priority p, other than those already tried. The groups get calls in proportion to
// their weights; a group without a usable server passes its calls to the next. The server is nil unless the outcome is Picked.
func Pick(now time.Time, rnd *rand.Rand, groups []Group, p priority.Priority, tried []*Server) (*Server, Outcome) {
	outcome := NoServer
	start := randomGroup(rnd, groups)
	for i := range groups {
		g := &groups[(start+i)%len(groups)]
		if g.Weight == 0 {
			continue
		}
		s, o := g.pick(now, rnd, p, tried)
		if o == Picked {
			return s, Picked
		}
		if o == BelowLevel {
			outcome = BelowLevel
		}
	}
	return nil, outcome
}

// randomGroup returns the index of a random group, chosen in proportion to the weights.
func randomGroup(rnd *rand.Rand, groups []Group) int {
	total := 0
	for i := range groups {
		total += groups[i].Weight
	}
	if total == 0 {
		return 0
	}
	n := rnd.IntN(total)
	for i := range groups {
		n -= groups[i].Weight
		if n < 0 {
			return i
		}
	}
	return 0
}

// pick chooses a server of the group: one of the caller's zone, unless that is full and one of another zone is less loaded.
func (g *Group) pick(now time.Time, rnd *rand.Rand, p priority.Priority, tried []*Server) (*Server, Outcome) {
	sameZone, sameZoneOutcome := pickFrom(now, rnd, g.SameZone, p, tried)
	if sameZoneOutcome == Picked && !sameZone.full(now) {
		return sameZone, Picked
	}
	otherZone, otherZoneOutcome := pickFrom(now, rnd, g.OtherZones, p, tried)
	switch {
	case sameZoneOutcome == Picked && otherZoneOutcome == Picked:
		if otherZone.load(now) < sameZone.load(now) {
			return otherZone, Picked
		}
		return sameZone, Picked
	case sameZoneOutcome == Picked:
		return sameZone, Picked
	case otherZoneOutcome == Picked:
		return otherZone, Picked
	case sameZoneOutcome == BelowLevel || otherZoneOutcome == BelowLevel:
		return nil, BelowLevel
	default:
		return nil, NoServer
	}
}

// pickFrom chooses the less loaded of two random servers; if that one can't take the call, it returns the first in the
// list, from a random position on, that can.
func pickFrom(now time.Time, rnd *rand.Rand, list []*Server, p priority.Priority, tried []*Server) (*Server, Outcome) {
	if len(list) == 0 {
		return nil, NoServer
	}
	i := rnd.IntN(len(list))
	a := list[i]
	b := a
	if len(list) > 1 {
		b = list[(i+1+rnd.IntN(len(list)-1))%len(list)]
	}
	if b.load(now) < a.load(now) {
		a, b = b, a
	}
	if admits(now, a, p, tried) == Picked {
		return a, Picked
	}
	outcome := NoServer
	for k := range list {
		s := list[(i+k)%len(list)]
		switch admits(now, s, p, tried) {
		case Picked:
			return s, Picked
		case BelowLevel:
			outcome = BelowLevel
		}
	}
	return nil, outcome
}

// admits returns Picked if a call of priority p may be sent to the server, and otherwise why not; see AllowCall for the
// side effect.
func admits(now time.Time, s *Server, p priority.Priority, tried []*Server) Outcome {
	for _, t := range tried {
		if t == s {
			return NoServer
		}
	}
	if s.Level(now) > p {
		return BelowLevel
	}
	if !s.AllowCall(now) {
		return NoServer
	}
	return Picked
}
