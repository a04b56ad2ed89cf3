// Package admission decides which calls a backend server starts, and when.
//
// A Gate stands before one backend server. A call arrives as a Ticket; the
// Gate refuses it below the admission level, starts it while the concurrency
// limit and the headroom of its tier allow, or queues it by priority. The
// queue is bounded in length and in sojourn time, and evicts the lowest
// priority first. When a call ends, its own time (the time spent in the
// backend server, less the time it waited for calls of its own) moves the
// limit. At each tick the queue's delays move the level.
//
// A Gate does no I/O, starts no goroutine and reads no clock.
package admission
