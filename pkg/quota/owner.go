package quota

import "time"

const (
	// lentAbove is the part of a bucket that is kept for the own zone: nodes of others get what lies above it. A team at 0.9 of a limit of 10 a second, all at
	// one entry, was refused 0.009 of its requests with a third, none with this, and one far over its limit asks other zones a tenth more (made-up time, 69 nodes).
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

// Owner holds the buckets of the teams that a node owns. Its zero value owns none; it isn't safe for concurrent use.
type Owner struct {
	Rules Rules

	since   [Shards]time.Time // from when on the node gives out tokens; zero: it isn't the owner
	part    float64           // of the zone's tokens that may be given out
	buckets map[string]*bucket
}

// Settle is how much later than others a node may learn who owns a team: some rounds of exchanges. A new owner waits for that long, so
// that it doesn't give out what the one before still gives.
const Settle = time.Second

// Elect takes which shards the node owns, and the part of the zone's nodes that it hears; what it has just come to own it gives
// out after the wait. What it doesn't own any more is forgotten: if it comes back, it begins with nothing.
func (o *Owner) Elect(now time.Time, owns func(shard int) bool, part float64, wait time.Duration) {
	o.part = part
	for shard := range o.since {
		switch {
		case !owns(shard):
			o.since[shard] = time.Time{}
		case o.since[shard].IsZero():
			o.since[shard] = now.Add(wait)
		}
	}
	for team := range o.buckets {
		if o.since[ShardOf(team)].IsZero() {
			delete(o.buckets, team)
		}
	}
}

// Owns tells whether the node owns the team.
func (o *Owner) Owns(team string) bool { return !o.since[ShardOf(team)].IsZero() }

// Grant gives out tokens of a team that the node owns; far tells that a node of another zone asks.
func (o *Owner) Grant(now time.Time, team string, l Limit, want int, far bool) Grant {
	rate, depth := o.Rules.rate(l)*o.part, o.Rules.depth(l)*o.part
	b := o.bucket(team)
	b.fill(now, rate, depth) // a node that waits has a bucket as of a later time, in which nothing comes
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
