// Package freshness decides for how long a node may take its desired state for the newest where a key that the
// operator took away must not pass any more.
//
// What lets a key pass is a Proof: the time at which a call to the platform's store was sent whose answer had a version of
// the desired state. Since the store's answers are linearizable, every version that was confirmed before that time is that one or an older
// one. So a node that has the version in force may serve keys until the bound after that time, and nothing that comes later
// needs to be known: silence proves nothing.
//
// A proof goes from node to node with its age, as the answer to a question. The one who asks takes it as of when the
// question was sent, so waiting on the way only makes a proof older than it is, never younger.
//
// keeper.go holds the proofs of one node, roles.go chooses who asks whom, schedule.go says when. Nothing here does I/O or
// reads a clock. The times handed in have to go on while the VM is suspended.
package freshness
