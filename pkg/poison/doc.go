// Package poison tells the requests that end the backend servers that run them
// (poison requests, also called queries of death) from those that just ran there, and says what each may do next.
//
// A request is known again by what it asks for, its Fingerprint: each
// attempt of a client has an id of its own, and comes in at any node.
//
// When a server ends, tens of requests run there and one is to blame. All become
// suspects, and each is tried again where it can do little harm, until a run of it ends well, which
// clears it, or until it has ended too many servers: then it is held back
// for a time, and then tried once more. What each step allows is a Treatment.
//
// The way of the data: the node beside a server that ended makes an End of the
// runs there; Table.TakeEnd takes it, here and at all nodes that hear of it; a run
// that ends well is told to Table.Clear, and what that changed reaches
// the other nodes as a Case. Both may come in any order, any number of times: what counts is which lives of servers ended under a
// request and which of these are cleared, not when anything was heard.
//
// A request that is popular runs in every server at any moment, so it is under each end. One of which runs have ended well of late, here or
// at the server that ended (GoodRuns), is sound: it needs some ends more.
//
// fingerprint.go makes the fingerprints, end.go and case.go have what nodes tell each other,
// table.go keeps the cases, good_runs.go what ended well at one server, treatment.go says what follows from one, and place.go chooses a server for a suspect.
package poison
