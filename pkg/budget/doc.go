// Package budget decides how much of the time that a call may take is needed
// after it.
//
// A call's time limit says when its own caller ends. It doesn't say what the
// caller still has to do then. The node where a call begins computes the call's
// Reserve (reserve.go): the calls that its run still has to make, by their usual
// times (times.go), plus the reserve of the run itself. The gate of the called
// server uses the limit less the reserve as the deadline.
//
// A reserve is an estimate, so refusal_limit.go bounds how many calls of a route
// are refused for it alone.
//
// The package does no I/O, starts no goroutine and reads no clock. Which run made a
// call is decided in package callgraph.
package budget
