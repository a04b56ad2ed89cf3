// Package callgraph learns which requests make which calls.
//
// Calls carry nothing of the request that makes them. But each node knows how
// often each route runs on its backend server, and how often that server calls
// each route. Over many windows and nodes the mix varies, and the calls of one
// run of each route follow by least squares. Cost then walks down the graph
// and says how much of each service's slots one root request takes.
package callgraph
