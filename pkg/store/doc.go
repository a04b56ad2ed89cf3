// Package store meets the users' platform: a transactional table, an
// object store, and a list of VMs.
//
// Platform is a struct of functions, so that an adapter is one file. Each call
// has a deadline from its context and one of three results: done (nil), not
// done (*ConflictError, or *RefusedError), and unknown (*UnknownError, when
// the answer was lost and the write may have taken effect). Two adapters are
// here: Memory, and HTTP, which talks JSON to a Server over a Memory.
package store
