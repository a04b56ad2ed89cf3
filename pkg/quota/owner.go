package quota

import (
	"math"
	"time"
)

const (
	// lentAbove is the part of a bucket that is kept for the own zone: nodes of others get what lies above it. With more, a team all of
	// whose requests come in at one entry is refused below its limit.
	lentAbove = 0.2
	// aheadAbove is the part above which a node gets more than the one token that it needs now.
	aheadAbove = 0.5
	// waitLeast and waitMost bound the time after which it is worth asking again.
	waitLeast = 40 * time.Millisecond
	waitMost  = 500 * time.Millisecond
)

// Grant is an owner's answer.
type Grant struct {
	Tokens int
	Wait   time.Duration // if there are none: when to ask again
}

// Balance is the tokens of one team that go from one owner to the next.
type Balance struct {
	Team   string
	Tokens int
}

// Owner holds the buckets of the teams that a node owns. Its zero value owns none; it isn't safe for concurrent use.
type Owner struct {
	Config Config
	// FillOnceAt is when the buckets that the node has owned since before are full, once: at the first start of the whole system nothing has run before, but
	// until nodes agree on who owns what, several may give out the same tokens. Zero: they begin empty, since what has run lately isn't known.
	FillOnceAt time.Time

	since   [Shards]time.Time // from when on the node gives out tokens; zero: it isn't the owner
	part    float64           // of the zone's tokens that may be given out
	buckets map[string]*bucket
	early   map[string]earlyBalance // of teams that the node doesn't own yet
}

// earlyBalance came before the node knew that it is the owner.
type earlyBalance struct {
	tokens int
	at     time.Time
}

const (
	// SettleTime is how much later than others a node may learn who owns a team: some rounds of exchanges. A new owner to whom the one before
	// hands nothing over waits for that long, so that it doesn't give out what that one still gives.
	SettleTime = time.Second
	// earlyTime is how long tokens are kept that were handed over before the node knew that it is the owner.
	earlyTime = 3 * time.Second
)

// UpdateOwnership takes which shards the node owns, and the part of the zone's nodes that it hears; what it has just come to own it gives
// out after the wait. What it doesn't own any more is forgotten: if it comes back, it begins with nothing.
//
// It returns what is left of the teams in shards that go to others, among those that there are, to be handed over.
func (o *Owner) UpdateOwnership(now time.Time, owns func(shard int) bool, part float64, wait time.Duration, limits map[string]Limit) []Balance {
	o.fillOwned(now, limits)
	left := o.leave(owns, limits)
	o.part = part
	for shard := range o.since {
		switch {
		case !owns(shard):
			o.since[shard] = time.Time{}
		case o.since[shard].IsZero():
			o.since[shard] = now.Add(wait)
		}
	}
	o.takeEarly(now, limits)
	return left
}

// fillOwned brings all buckets up to date by the part that the node had until now: a node that had a quarter of its zone's tokens while it
// was cut off mustn't count the whole zone's for that time once it hears the others again.
func (o *Owner) fillOwned(now time.Time, limits map[string]Limit) {
	for team, l := range limits {
		if o.Owns(team) {
			o.bucket(team).fill(now, o.Config.rate(l)*o.part, o.Config.depth(l)*o.part)
		}
	}
}

// leave forgets the shards that go to others, and returns what is left of their teams.
func (o *Owner) leave(owns func(shard int) bool, limits map[string]Limit) []Balance {
	var left []Balance
	for team := range limits {
		if !o.Owns(team) || owns(ShardOf(team)) {
			continue
		}
		if n := o.bucket(team).take(math.MaxInt32, 0); n > 0 {
			left = append(left, Balance{team, n})
		}
	}
	for team := range o.buckets {
		if !owns(ShardOf(team)) {
			delete(o.buckets, team)
		}
	}
	return left
}

// ReceiveBalance takes what the owner before hands over: from now on that one gives out nothing of it.
func (o *Owner) ReceiveBalance(now time.Time, b Balance, l Limit) {
	shard := ShardOf(b.Team)
	if o.since[shard].IsZero() {
		if o.early == nil {
			o.early = make(map[string]earlyBalance)
		}
		o.early[b.Team] = earlyBalance{b.Tokens, now}
		return
	}
	if o.since[shard].After(now) {
		o.since[shard] = now
	}
	mine := o.bucket(b.Team)
	if mine.last.After(now) {
		mine.last = now
	}
	mine.level = min(mine.level+float64(b.Tokens), o.Config.depth(l)*o.part)
}

// takeEarly takes what came before the node knew that it is the owner.
func (o *Owner) takeEarly(now time.Time, limits map[string]Limit) {
	for team, b := range o.early {
		if o.Owns(team) && now.Sub(b.at) < earlyTime {
			o.ReceiveBalance(now, Balance{team, b.tokens}, limits[team])
		}
		if o.Owns(team) || now.Sub(b.at) >= earlyTime {
			delete(o.early, team)
		}
	}
}

// Owns tells whether the node owns the team.
func (o *Owner) Owns(team string) bool { return !o.since[ShardOf(team)].IsZero() }

// Grant gives out tokens of a team that the node owns; far tells that a node of another zone asks.
func (o *Owner) Grant(now time.Time, team string, l Limit, want int, far bool) Grant {
	rate, depth := o.Config.rate(l)*o.part, o.Config.depth(l)*o.part
	b := o.bucket(team)
	b.fill(now, rate, depth) // a node that waits has a bucket as of a later time, in which nothing comes
	if o.startsFull(now, team, b) {
		b.level, b.begunFull = depth, true
	}
	kept := 0.0
	if far {
		kept = lentAbove * depth
	}
	n := b.take(max(want-1, 0), max(kept, aheadAbove*depth))
	n += b.take(1, kept)
	if n > 0 {
		return Grant{Tokens: n}
	}
	return Grant{Wait: o.waitFor(kept+1-b.level, rate)}
}

// startsFull tells whether a bucket is to be filled now for the first start.
func (o *Owner) startsFull(now time.Time, team string, b *bucket) bool {
	return !o.FillOnceAt.IsZero() && !b.begunFull && !now.Before(o.FillOnceAt) && o.since[ShardOf(team)].Before(o.FillOnceAt)
}

// waitFor returns when so many tokens have come.
func (o *Owner) waitFor(missing, rate float64) time.Duration {
	if rate <= 0 {
		return waitMost
	}
	return min(max(time.Duration(missing/rate*float64(time.Second)), waitLeast), waitMost)
}

// bucket returns that of a team. One that nobody asked for yet has filled since the node became its owner.
func (o *Owner) bucket(team string) *bucket {
	b := o.buckets[team]
	if b == nil {
		if o.buckets == nil {
			o.buckets = make(map[string]*bucket)
		}
		b = &bucket{last: o.since[ShardOf(team)]}
		o.buckets[team] = b
	}
	return b
}
