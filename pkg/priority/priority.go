package priority

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tier is the importance of a request class; higher tiers are shed later.
type Tier uint8

// MaxTier is the highest tier that a class may have.
const MaxTier Tier = 3

// rankBits is the number of bits of the rank; the tier is in the bits above.
const rankBits = 24

// TierSpan is the number of priorities within one tier.
const TierSpan = 1 << rankBits

// Max is the highest priority; a level above it admits nothing.
const Max = Priority(uint32(MaxTier+1)<<rankBits - 1)

// EpochLength is the time for which a request ID keeps its rank.
const EpochLength = 10 * time.Second

// Priority is a request's position in the order of load shedding; higher values are shed later.
type Priority uint32

// New returns the priority at the given time of a request with the ID and tier; a tier above MaxTier counts as MaxTier.
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

// Tier returns the tier of the priority.
func (p Priority) Tier() Tier { return Tier(p >> rankBits) }

// String returns the tier and the rank as a fraction of the tier, as in "3:0.250".
func (p Priority) String() string {
	return fmt.Sprintf("%d:%.3f", p.Tier(), float64(p&(TierSpan-1))/TierSpan)
}

// bonusPerHop is the priority that a call gains at each hop from the entry.
const bonusPerHop = TierSpan / 64

// AtDepth returns the priority that applies at a backend server depth hops from the entry. Calls of a request in progress
// gain a little over new requests, since work was spent on it, but never leave their tier.
func (p Priority) AtDepth(depth int) Priority {
	top := Floor(p.Tier()) + TierSpan - 1
	return p + min(Priority(max(depth, 0))*bonusPerHop, top-p)
}
