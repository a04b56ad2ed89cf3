package quota

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of groups that the teams are divided into, each with one owner in a zone. More groups would spread the work more
// evenly but slow down the choice of owners: 64 times 3,000 nodes take some milliseconds, whenever a node joins or leaves.
const Shards = 64

// ShardOf returns the shard of a team.
func ShardOf(team string) int { return int(xxhash.Sum64String(team) % Shards) }

// ShardOwners holds the owner host of each shard in one availability zone, or "" where there is none.
type ShardOwners [Shards]string

// ChooseOwners returns the owners among the hosts, by rendezvous hashing: when a host joins or leaves, only its own shards move.
func ChooseOwners(hosts []string) *ShardOwners {
	var r ShardOwners
	for shard := range r {
		suffix := "/" + strconv.Itoa(shard)
		var most uint64
		for _, h := range hosts {
			if w := xxhash.Sum64String(h + suffix); w > most || r[shard] == "" || w == most && h < r[shard] {
				r[shard], most = h, w
			}
		}
	}
	return &r
}

// OwnerOf returns the owner host of a team, or "" if there is none.
func (r *ShardOwners) OwnerOf(team string) string {
	if r == nil {
		return ""
	}
	return r[ShardOf(team)]
}
