// Package gate decides which requests a backend server starts, and when.
//
// A Gate stands before one backend server that nobody else can reach, so its
// count of requests in progress is exact. A request arrives as a Ticket. The
// Gate starts it while the limit allows, lets it wait in a short queue, or
// refuses it: then it certainly hasn't run, and can go to another server.
// Tickets start in the order in which they came, but calls of requests that are
// in progress elsewhere count as come a little earlier than they did, since work
// was already spent on them, and less urgent roots as come a little later.
//
// gate.go keeps the slots and the queue, ticket_order.go and ticket_wait.go say
// who is next and how long he may wait, run_outcome.go takes how runs ended.
//
// A Gate does no I/O, starts no goroutine and reads no clock. It differs from
// package admission's: there every request carries a priority through the
// whole chain and a level is raised; here calls carry nothing of their root,
// so roots are limited at the entry (package overload) and the Gate only
// orders what comes.
package gate
