package priority

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tier is a request class's importance; higher tiers are shed later.
type Tier uint8

// MaxTier is the highest tier that a class may have.
const MaxTier Tier = 3

// rankBits is the width of the rank below the tier.
const rankBits = 24

// TierSpan is the number of priorities within one tier.
const TierSpan = 1 << rankBits

// Max is the highest priority; a level above it admits nothing.
const Max = Priority(uint32(MaxTier+1)<<rankBits - 1)

// EpochLength is the time for which a request identity keeps its rank.
const EpochLength = 10 * time.Second

// Priority is a request's place in the shed order; a higher value is kept longer.
type Priority uint32

// New returns the priority of the request identified by id in the tier at the given time.
func New(tier Tier, id string, now time.Time) Priority {
	if tier > MaxTier {
		tier = MaxTier
	}
	epoch := uint64(now.UnixNano() / int64(EpochLength))
	rank := xxhash.Sum64String(id) ^ (epoch * 0x9e3779b97f4a7c15)
	rank *= 0xff51afd7ed558ccd
	return Floor(tier) + Priority(rank>>(64-rankBits))
}

// Floor returns the lowest priority of a tier.
func Floor(tier Tier) Priority { return Priority(uint32(tier) << rankBits) }

// Tier returns the tier that the priority lies in.
func (p Priority) Tier() Tier { return Tier(p >> rankBits) }

// String shows the priority as tier and rank share, as in "3:0.250".
func (p Priority) String() string {
	return fmt.Sprintf("%d:%.3f", p.Tier(), float64(p&(TierSpan-1))/TierSpan)
}

// favorPerHop is the part of a tier by which a call gains at each hop from the entry.
const favorPerHop = TierSpan / 64

// AtDepth returns the priority that counts at a backend server depth hops from the entry. A request in
// progress gains a little over new ones, since work was spent on it, and never leaves its tier.
func (p Priority) AtDepth(depth int) Priority {
	top := Floor(p.Tier()) + TierSpan - 1
	return p + min(Priority(max(depth, 0))*favorPerHop, top-p)
}
