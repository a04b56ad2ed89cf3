// Package success estimates the probability that a whole request succeeds, from the losses that nodes report.
//
// Each node reports the calls that began beside its server, and those lost at their own hop (loads.Entry). Hops
// (hop_shares.go) turns these into the success share of each route's calls, and Requests (whole_requests.go) multiplies
// these shares over the calls that a request is expected to make. A loss counts once, at the call that was lost, so the
// shares of the hops are taken to be independent. What isn't reported has the probability 1.
//
// Package overload decides by the results how much of each kind is admitted; package mesh keeps the state.
package success
