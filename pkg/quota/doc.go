// Package quota keeps a team's requests below its limit, over all nodes and without a coordinator.
//
// The limit of a team is divided evenly among the availability zones. In each of them one node, the owner, which all nodes choose alike by
// rendezvous hashing, has a token bucket with that share. A request takes one token. Its node queries the owner in its zone
// for some. If that owner has none or can't be reached, it queries the owners in the other zones, which lend what they don't need themselves.
// Tokens are only moved and never created: however many nodes there are, and whichever are partitioned, killed or
// restarted, what runs in a window stays within what accrues in all buckets during it, and their depth.
//
// A new owner starts with an empty bucket, so that no burst is granted twice. If it
// doesn't hear all nodes of its zone it has only that fraction of the zone's share, since other nodes may be owners beyond a partition.
//
// config.go has the limits and the rate and depth of buckets, bucket.go one bucket, owner.go the buckets of a node, pool.go the tokens
// that a node holds, shard_owners.go the choice of owners. Nothing here does I/O or reads a clock.
package quota
