// Package freshness decides for how long a node may take its desired state for the newest, where a key that the
// operator revoked must be rejected within a bound.
//
// A key is accepted by a Proof: the time at which a call to the platform's store was sent whose answer had a version of
// the desired state. Since the store's answers are linearizable, every version that was confirmed before that time is that one or an older
// one. So a node that has the version in force may accept keys until the bound after that time, whatever changes later.
// The absence of updates proves nothing.
//
// Nodes pass proofs on, with their age, in answers to queries. The requester dates the proof from when it sent the query,
// so delays in flight only make a proof look older than it is, never younger.
//
// tracker.go holds the proofs of one node, roles.go chooses which node queries which, schedule.go says when. Nothing here does I/O or
// reads a clock. The clock of the times that callers pass must keep running while the VM is suspended.
package freshness
