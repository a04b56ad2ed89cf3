package freshness

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// readers of an availability zone ask the store: one may be lost, and the other still tells the zone. The store's calls
	// are paid for one by one, so they grow with the zones and not with the nodes.
	readers = 2
	// directUpTo is the number of nodes of a zone up to which all ask the readers. In a larger one some nodes ask on behalf
	// of the others, so that nobody is asked by more than about as many as these.
	directUpTo = 48
)

// Roles says who asks whom in one availability zone.
type Roles struct {
	Readers []string // ask the store
	Relays  []string // ask the readers, and are asked by the others; none in a small zone
}

// ChooseRoles returns the roles among the hosts of a zone that are alive. All nodes choose alike, without asking.
func ChooseRoles(alive []string) Roles {
	byRank := slices.Clone(alive)
	slices.SortFunc(byRank, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	r := Roles{Readers: byRank[:min(readers, len(byRank))]}
	if len(byRank) > directUpTo {
		relays := int(math.Ceil(math.Sqrt(float64(len(byRank)))))
		r.Relays = byRank[readers : readers+relays]
	}
	return r
}

// IsReader tells whether the host asks the store.
func (r Roles) IsReader(host string) bool { return slices.Contains(r.Readers, host) }

// QueryTargets returns whom the host asks.
func (r Roles) QueryTargets(host string) []string {
	if len(r.Relays) == 0 || slices.Contains(r.Relays, host) {
		return r.Readers
	}
	return r.Relays
}
