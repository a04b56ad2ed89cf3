package fairshare

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockspoke/rockspoke/pkg/overload"
)

// The bounds of a Divider's state and work.
const (
	// maxTeams is the number of teams that are counted by name; the largest matter, and they are seen first.
	maxTeams = 64
	// otherClasses is the number of classes that all other teams fall into by the hash of their name.
	otherClasses = 16
	// levelPeriod is the time between computations of the level: shorter than the half-life of the counted demand.
	levelPeriod = 200 * time.Millisecond
	// minDemand is the rate a second below which a team is forgotten.
	minDemand = 0.02
	// minBurst is the smallest bucket of a team in requests, and burstTime sets that of a busy one. A team at the level would lose a
	// quarter of its requests to uneven arrivals with a bucket of one.
	minBurst  = 4.0
	burstTime = 300 * time.Millisecond
)

// team is the demand of one team, or of a class of teams, and what of it is admitted.
type team struct {
	demand     overload.DecayingRate
	tokens     float64
	lastRefill time.Time
}

// take takes a token of a bucket that refills at the level. The bucket evens out the arrivals of a team below the level.
func (t *team) take(now time.Time, level float64) bool {
	t.tokens = min(t.tokens+max(now.Sub(t.lastRefill).Seconds(), 0)*level, max(minBurst, level*burstTime.Seconds()))
	t.lastRefill = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Divider divides the admitted rate of one kind among teams. Its zero value has counted nothing; it isn't safe for concurrent use.
type Divider struct {
	named      map[string]*team
	others     [otherClasses]team
	level      float64
	computedAt time.Time
	demands    []float64
}

// Count counts a request of a team without limiting it.
func (d *Divider) Count(now time.Time, name string) { d.team(name).demand.Add(now, 1) }

// Admit counts a request of a team, and reports whether it is admitted while the share of the kind's whole demand is.
func (d *Divider) Admit(now time.Time, name string, share float64) bool {
	t := d.team(name)
	t.demand.Add(now, 1)
	if now.Sub(d.computedAt) >= levelPeriod {
		d.computedAt = now
		d.computeLevel(now, share)
	}
	return t.take(now, d.level)
}

// team returns the counts of a team, or those of its class if too many are counted by name.
func (d *Divider) team(name string) *team {
	if t := d.named[name]; t != nil {
		return t
	}
	if len(d.named) >= maxTeams {
		return &d.others[xxhash.Sum64String(name)%otherClasses]
	}
	if d.named == nil {
		d.named = make(map[string]*team)
	}
	t := &team{}
	d.named[name] = t
	return t
}

// computeLevel recomputes the level from the demand of all teams, and forgets the teams without any.
func (d *Divider) computeLevel(now time.Time, share float64) {
	d.demands = d.demands[:0]
	sum := 0.0
	add := func(rate float64) {
		sum += rate
		d.demands = append(d.demands, rate)
	}
	for name, t := range d.named {
		rate := t.demand.PerSecond(now)
		if rate < minDemand {
			delete(d.named, name)
			continue
		}
		add(rate)
	}
	for i := range d.others {
		if rate := d.others[i].demand.PerSecond(now); rate >= minDemand {
			add(rate)
		}
	}
	d.level = Level(d.demands, share*sum)
}
