// Package level tracks the admission levels of the services that a node calls.
//
// Each answer carries the highest level in its subtree of the call graph. A
// View smooths these levels per route, so that the caller's node, and finally
// the entry, refuses a request that a deeper hop would refuse. A level that no
// answer renews decays to zero.
package level
