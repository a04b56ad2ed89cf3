// Package poison tells the requests that end the backend servers that run them
// (poison requests, also called queries of death) from those that just ran there.
//
// A request is known again by what it asks for, its Fingerprint: each
// attempt of a client has an id of its own, and comes in at any node.
//
// fingerprint.go makes the fingerprints.
package poison
