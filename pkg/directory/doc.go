// Package directory knows the backend servers of the mesh without a central list.
//
// Each node writes what it knows of its own backend server as a Record with a
// generation that only grows. Records travel by the store's table and by the
// exchanges between nodes, in any order; Merge keeps the newest. A Record
// isn't dropped because its node is silent: only the node itself says that its
// server is gone.
//
// directory.go merges the records of all VMs, own_server.go follows the
// server beside the node by its heartbeats, record.go has what both tell.
package directory
