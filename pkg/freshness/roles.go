package freshness

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// readers is the number of nodes of an availability zone that query the store: if one is lost, the other still supplies the zone. The
	// store's calls are billed one by one, so they should grow with the zones and not with the nodes.
	readers = 2
	// directUpTo is the largest number of nodes of a zone for which all query the readers. In a larger zone relays query on behalf of
	// the others, so that no node is queried by many more nodes than this.
	directUpTo = 48
)

// Roles says which node queries which in one availability zone.
type Roles struct {
	Readers []string // query the store
	Relays  []string // query the readers and answer the others; none in a small zone
}

// ChooseRoles returns the roles among the hosts of a zone that are alive. All nodes with the same list choose alike.
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

// IsReader reports whether the host queries the store.
func (r Roles) IsReader(host string) bool { return slices.Contains(r.Readers, host) }

// QueryTargets returns the hosts that the host queries.
func (r Roles) QueryTargets(host string) []string {
	if len(r.Relays) == 0 || slices.Contains(r.Relays, host) {
		return r.Readers
	}
	return r.Relays
}
