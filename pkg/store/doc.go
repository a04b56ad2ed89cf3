// Package store is the interface to the users' platform: a transactional
// table, an object store, and a list of VMs.
//
// Platform is a struct of functions, so that an adapter fits in one file. Each
// call takes its deadline from its context and has one of three results: done
// (nil), not done (*ConflictError or *RefusedError), or unknown (*UnknownError:
// the response was lost and the write may have taken effect). There are two
// adapters: Memory, and HTTP, a client of the JSON protocol by which Server
// serves a Memory.
package store
