package quota

import (
	"math"
	"time"
)

const (
	// ownZoneReserve is the fraction of a bucket that is reserved for the owner's zone: nodes of other zones get only tokens above it. With
	// a larger reserve, a team all of whose requests enter at one entry VM is refused below its limit.
	ownZoneReserve = 0.2
	// prefetchReserve is the fraction of a bucket above which a node gets more than the one token that it needs now.
	prefetchReserve = 0.5
	// minWait and maxWait bound the time after which a node may query again.
	minWait = 40 * time.Millisecond
	maxWait = 500 * time.Millisecond
)

// Grant is an owner's answer to a query for tokens.
type Grant struct {
	Tokens int
	Wait   time.Duration // without tokens: how long to wait before the next query
}

// Balance is a team's remaining tokens, handed over from one owner to the next.
type Balance struct {
	Team   string
	Tokens int
}

// Owner holds the buckets of the teams that a node owns. Its zero value owns none. It isn't safe for concurrent use.
type Owner struct {
	Config Config
	// FillOnceAt is when the buckets that the node has owned since before are filled, once. At the first start of the whole system nothing
	// has run before, but until nodes agree on the owners, several may grant the same tokens. If zero, buckets start empty, since what ran recently is unknown.
	FillOnceAt time.Time

	grantsFrom    [Shards]time.Time // from when the node may grant tokens; zero: it isn't the owner
	fraction      float64           // of the zone's tokens that may be granted
	buckets       map[string]*bucket
	earlyBalances map[string]earlyBalance // by team, of teams that the node doesn't own yet
}

// earlyBalance is a balance that arrived before the node learned that it is the owner.
type earlyBalance struct {
	tokens int
	at     time.Time
}

const (
	// SettleTime is how much later than others a node may learn who owns a team: some rounds of exchanges. A new owner that gets no balance
	// from the previous one waits this long, so that it doesn't grant what the previous owner still grants.
	SettleTime = time.Second
	// earlyBalanceLifetime is how long an early balance is retained.
	earlyBalanceLifetime = 3 * time.Second
)

// UpdateOwnership sets which shards the node owns, and the fraction of its zone's nodes that it hears. It grants tokens of newly owned shards
// only after wait. State of shards that it no longer owns is dropped: if they return, their buckets start empty.
//
// It returns the balances of the teams in limits whose shards move to other owners, to be handed over.
func (o *Owner) UpdateOwnership(now time.Time, owns func(shard int) bool, fraction float64, wait time.Duration, limits map[string]Limit) []Balance {
	o.fillOwnedBuckets(now, limits)
	left := o.releaseShards(owns, limits)
	o.fraction = fraction
	for shard := range o.grantsFrom {
		switch {
		case !owns(shard):
			o.grantsFrom[shard] = time.Time{}
		case o.grantsFrom[shard].IsZero():
			o.grantsFrom[shard] = now.Add(wait)
		}
	}
	o.applyEarlyBalances(now, limits)
	return left
}

// fillOwnedBuckets fills all owned buckets by the fraction in force until now. A node that had a quarter of its zone's tokens while it
// was partitioned must not accrue the whole zone's for that time once it hears the others again.
func (o *Owner) fillOwnedBuckets(now time.Time, limits map[string]Limit) {
	for team, l := range limits {
		if o.Owns(team) {
			o.bucket(team).fill(now, o.Config.rate(l)*o.fraction, o.Config.depth(l)*o.fraction)
		}
	}
}

// releaseShards drops the buckets of shards that move to other owners, and returns what is left of their teams.
func (o *Owner) releaseShards(owns func(shard int) bool, limits map[string]Limit) []Balance {
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

// ReceiveBalance adds what the previous owner hands over, and starts granting at once, since that owner has stopped.
func (o *Owner) ReceiveBalance(now time.Time, b Balance, l Limit) {
	shard := ShardOf(b.Team)
	if o.grantsFrom[shard].IsZero() {
		if o.earlyBalances == nil {
			o.earlyBalances = make(map[string]earlyBalance)
		}
		o.earlyBalances[b.Team] = earlyBalance{b.Tokens, now}
		return
	}
	if o.grantsFrom[shard].After(now) {
		o.grantsFrom[shard] = now
	}
	mine := o.bucket(b.Team)
	if mine.last.After(now) {
		mine.last = now
	}
	mine.level = min(mine.level+float64(b.Tokens), o.Config.depth(l)*o.fraction)
}

// applyEarlyBalances receives the early balances of teams that the node owns now, and drops them and those that have expired.
func (o *Owner) applyEarlyBalances(now time.Time, limits map[string]Limit) {
	for team, b := range o.earlyBalances {
		if o.Owns(team) && now.Sub(b.at) < earlyBalanceLifetime {
			o.ReceiveBalance(now, Balance{team, b.tokens}, limits[team])
		}
		if o.Owns(team) || now.Sub(b.at) >= earlyBalanceLifetime {
			delete(o.earlyBalances, team)
		}
	}
}

// Owns reports whether the node owns the team.
func (o *Owner) Owns(team string) bool { return !o.grantsFrom[ShardOf(team)].IsZero() }

// Grant takes up to want tokens of a team that the node owns; far tells that the requester is in another zone.
func (o *Owner) Grant(now time.Time, team string, l Limit, want int, far bool) Grant {
	rate, depth := o.Config.rate(l)*o.fraction, o.Config.depth(l)*o.fraction
	b := o.bucket(team)
	b.fill(now, rate, depth) // while the node waits, last lies ahead and nothing accrues
	if o.needsInitialFill(now, team, b) {
		b.level, b.initiallyFilled = depth, true
	}
	kept := 0.0
	if far {
		kept = ownZoneReserve * depth
	}
	n := b.take(max(want-1, 0), max(kept, prefetchReserve*depth))
	n += b.take(1, kept)
	if n > 0 {
		return Grant{Tokens: n}
	}
	return Grant{Wait: o.waitFor(kept+1-b.level, rate)}
}

// needsInitialFill reports whether the bucket is to be filled now because of FillOnceAt.
func (o *Owner) needsInitialFill(now time.Time, team string, b *bucket) bool {
	return !o.FillOnceAt.IsZero() && !b.initiallyFilled && !now.Before(o.FillOnceAt) && o.grantsFrom[ShardOf(team)].Before(o.FillOnceAt)
}

// waitFor returns how long it takes until the missing tokens have accrued, between minWait and maxWait.
func (o *Owner) waitFor(missing, rate float64) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	return min(max(time.Duration(missing/rate*float64(time.Second)), minWait), maxWait)
}

// bucket returns a team's bucket. A new one accrues tokens from the time at which the node may grant them.
func (o *Owner) bucket(team string) *bucket {
	b := o.buckets[team]
	if b == nil {
		if o.buckets == nil {
			o.buckets = make(map[string]*bucket)
		}
		b = &bucket{last: o.grantsFrom[ShardOf(team)]}
		o.buckets[team] = b
	}
	return b
}
