// Package follow decides which nodes follow the desired state in the platform's store, and how long the others may
// take theirs for the newest.
//
// In a small availability zone every node follows. In a larger one a few do, which all nodes choose alike and
// without messages: by a hash over the nodes that are alive, so that a lost one is replaced automatically. The others receive
// from their peers, with every exchange, when the desired state was last known to be the newest. Where that
// was too long ago, because their zone's followers crashed, froze or are rejected by the store, a node reads the state itself,
// and its peers learn of that. So without faults the calls to the store grow with zones and changes and not with nodes, and with nodes
// only where no follower can supply the zone.
//
// followers.go chooses the followers; tracker.go is what one node knows and whether it contacts the store.
//
// A Tracker does no I/O, starts no goroutine and reads no clock.
package follow
