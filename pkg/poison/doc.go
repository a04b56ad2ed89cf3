// Package poison tells the requests that crash the backend servers that run them
// (poison requests, also called queries of death) from those that merely ran there, and decides how each may run from then on.
//
// A request is recognized by its content, as a Fingerprint: each
// attempt of a client has an id of its own and may enter the mesh at any node.
//
// When a server crashes, tens of requests run there and one is the cause. All become
// suspects. Each may run again where it can do little harm, until a run succeeds, which
// clears it, or until it has crashed too many servers. Then it is quarantined
// for a time, and afterwards may run once more. A Treatment says what each step allows.
//
// Data flow: the node on the VM of a crashed server builds a Crash with the
// runs there. Table.RecordCrash records it, at this node and at all nodes that receive it. Table.RecordSuccess
// takes the runs that succeed, and the cases that these clear go to
// the other nodes as a Case each. Both may arrive in any order and any number of times: what counts is which server lifetimes crashed
// under a request and which of these are cleared, not when a report arrived.
//
// A popular request runs in every server at any moment, so each crash makes it a suspect. If runs of it succeeded recently, here or
// at the crashed server (SuccessTracker), it is recently successful and needs some more crashes before it is restricted further.
//
// fingerprint.go computes the fingerprints, crash.go and case.go have what nodes send each other,
// table.go holds the cases, success_tracker.go the recent successes at one server, treatment.go decides on a case, and select_host.go
// selects the server for a suspect.
package poison
