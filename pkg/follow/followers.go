package follow

import "github.com/cespare/xxhash/v2"

const (
	// SmallZoneSize is the number of nodes of an availability zone up to which each of them follows the store, as little would be
	// saved otherwise.
	SmallZoneSize = 8
	// followers is the number of followers of a larger zone: two of them may be lost at once, and the third still supplies the zone.
	followers = 3
)

// IsFollower reports whether the host is one of the followers of its availability zone, given the hosts that are alive there.
func IsFollower(host string, alive []string) bool {
	rank, count := position(host, alive)
	return rank < count
}

// position returns the rank of the host among the hosts that are alive in its availability zone, and the number of followers there: those with
// the lowest ranks.
func position(host string, alive []string) (rank, count int) {
	own := xxhash.Sum64String(host)
	for _, other := range alive {
		if other != host && xxhash.Sum64String(other) < own {
			rank++
		}
	}
	if len(alive) <= SmallZoneSize {
		return rank, max(len(alive), rank+1)
	}
	return rank, followers
}
