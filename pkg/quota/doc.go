// Package quota keeps what a team has run below its limit, over all nodes and without a coordinator.
//
// The limit of a team is divided evenly among the availability zones. In each of them one node, the owner, which all choose alike by
// rendezvous hashing, has a token bucket with that part. A request takes one token. Its node asks the owner of its zone
// for some; where that has none, or can't be reached, those of the other zones, which lend what they don't need themselves.
// Tokens are only ever moved and never made up: however many nodes there are, whoever is cut off from whom, killed or
// started again, what runs in a window stays within what comes into all buckets in it, and their depth.
//
// An owner that has just become one starts with an empty bucket, so that nobody is granted a burst twice; and where it
// doesn't hear all nodes of its zone it has only so much of the zone's part, since others may be owners beyond a cut.
//
// rules.go has the figures, bucket.go one bucket, owner.go the buckets of a node, pool.go the tokens that a node has in
// hand, ring.go says who owns which team. Nothing here does I/O or reads a clock.
package quota
