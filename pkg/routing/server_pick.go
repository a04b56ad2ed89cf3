package routing

import (
	"math/rand/v2"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// Group is the servers that one target of a policy picks, the caller's zone first.
type Group struct {
	Weight     int
	SameZone   []*Server
	OtherZones []*Server
}

// Outcome says what Pick found.
type Outcome uint8

// The outcomes of Pick.
const (
	Picked     Outcome = iota + 1
	BelowLevel         // there are servers, and all of them refuse this priority
	NoServer           // there is none to send to
)

// Pick chooses a server for a call of priority p, other than those already tried.
func Pick(now time.Time, rnd *rand.Rand, groups []Group, p priority.Priority, tried []*Server) (*Server, Outcome) {
	found := NoServer
	start := weighted(rnd, groups)
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
			found = BelowLevel
		}
	}
	return nil, found
}

func weighted(rnd *rand.Rand, groups []Group) int {
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

func (g *Group) pick(now time.Time, rnd *rand.Rand, p priority.Priority, tried []*Server) (*Server, Outcome) {
	near, no := pickFrom(now, rnd, g.SameZone, p, tried)
	if no == Picked && !near.crowded(now) {
		return near, Picked
	}
	far, fo := pickFrom(now, rnd, g.OtherZones, p, tried)
	switch {
	case no == Picked && fo == Picked:
		if far.busy(now) < near.busy(now) {
			return far, Picked
		}
		return near, Picked
	case no == Picked:
		return near, Picked
	case fo == Picked:
		return far, Picked
	case no == BelowLevel || fo == BelowLevel:
		return nil, BelowLevel
	default:
		return nil, NoServer
	}
}

// pickFrom takes the less busy of two random servers; where one of the two can't take the call, it scans all.
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
	if b.busy(now) < a.busy(now) {
		a, b = b, a
	}
	if admits(now, a, p, tried) == Picked {
		return a, Picked
	}
	found := NoServer
	for k := range list {
		s := list[(i+k)%len(list)]
		switch admits(now, s, p, tried) {
		case Picked:
			return s, Picked
		case BelowLevel:
			found = BelowLevel
		}
	}
	return nil, found
}

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
