// Package admission decides which calls a backend server starts, and when.
//
// A Gate controls admission to one backend server. A call arrives as a
// Ticket. The Gate refuses the call if its priority is below the admission
// level, starts it if the concurrency limit and the headroom of its tier
// allow, and otherwise queues it by priority. The queue is bounded in length
// and in sojourn time, and evicts the lowest priority first. When a call ends,
// its own time (the time spent in the backend server, less the time it waited
// for its outbound calls) adjusts the limit. At each tick the queueing delays
// adjust the level.
//
// A Gate does no I/O, starts no goroutine and reads no clock.
package admission
