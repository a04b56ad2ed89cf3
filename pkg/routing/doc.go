// Package routing chooses the backend server for each call.
//
// A Pool holds one Server for each VM, with its state as learned from answers:
// calls in progress, load, admission level, failures. A Grouper turns the
// targets of a policy into weighted groups of servers, each limited to a
// bounded subset. Pick chooses a group by weight and the less loaded of two
// random servers in it. It prefers the caller's own zone, and spills over to
// other zones when the servers of its own are full or refuse the priority.
package routing
