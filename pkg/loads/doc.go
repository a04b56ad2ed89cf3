// Package loads holds the load reports that the nodes of a mesh send each other, and what is computed from them.
//
// A node sends a Report (report.go) to the nodes of its availability zone: which requests begin beside its backend server,
// and what runs there, for how long, with which calls. Other zones receive the sums by service (service_sum.go). From these
// each node computes the same results: which routes are internal (internal_routes.go), which calls a run of a route makes
// (call_graph.go), and where it runs and for how long (placements.go).
//
// Package mesh stores the reports and drops old ones. What they reported of runs is retained longer (retained_runs.go), and
// what was learned of each service is stored beyond the life of all processes (learned.go).
package loads
