package quota

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shards is how many groups the teams are divided into. Each group has one owner in a zone; with more groups than that the work is
// spread more evenly, and choosing the owners takes longer: 64 times 3,000 nodes take some milliseconds, whenever one comes or goes.
const Shards = 64

// ShardOf returns the group that a team belongs to.
func ShardOf(team string) int { return int(xxhash.Sum64String(team) % Shards) }

// ShardOwners is the owner of each group in one availability zone; empty: there is none.
type ShardOwners [Shards]string

// ChooseOwners returns the owners among the hosts, by rendezvous hashing: when a host comes or goes, only its own groups move.
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

// OwnerOf returns the owner of a team, or "".
func (r *ShardOwners) OwnerOf(team string) string {
	if r == nil {
		return ""
	}
	return r[ShardOf(team)]
}
