// Package loads is what the nodes of a mesh tell each other of their load, and what is read from it.
//
// A node tells those of its availability zone a Report (report.go): which requests begin beside its server, and what
// runs there, for how long, with which calls. Other zones hear the sums by service (service_sum.go). From all of them
// each node works out the same: which routes are calls of backend servers (called_routes.go), which calls a run of a
// route makes (graph_of_calls.go), and where it runs and for how long (places_of_routes.go).
//
// Package mesh keeps the reports and forgets them. What they told of runs is remembered beyond that (kept_runs.go), and
// beyond the life of all processes as what was learned of each service (learned.go).
package loads
