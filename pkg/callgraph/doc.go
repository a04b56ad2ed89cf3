// Package callgraph learns which requests make which calls.
//
// Calls carry nothing of the request that makes them. But the node beside a
// backend server sees which runs are in progress there when the server makes
// a call, and a call ends with its run at the latest. learner.go shares each
// call out over the runs that may have made it, and counts the calls of whole
// runs. request_cost.go walks down the graph and says how much of each
// service's slots one root request takes.
package callgraph
