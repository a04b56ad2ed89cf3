// Package directory holds the replicated directory of the mesh's backend servers.
//
// Each node describes its local backend server by a Record with a generation
// that only grows. Records are replicated through the store's table and the
// exchanges between nodes, in any order; Merge keeps the newest. A Record
// isn't removed because its node is unresponsive: only the node itself reports
// that its server has left, or that no heartbeat confirms what replicas say of
// it after a restart of the node.
//
// directory.go merges the records of all VMs, local_server.go tracks the local
// backend server by its heartbeats, record.go defines the records.
package directory
