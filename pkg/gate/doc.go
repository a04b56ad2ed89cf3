// Package gate decides which requests a backend server starts, and when.
//
// A Gate stands before one backend server that no other client can reach, so its
// count of running requests is exact. A request arrives as a Ticket. The Gate
// starts it while the limit allows, queues it for a short time, or rejects it: a
// rejected request certainly hasn't run, and can go to another server. Tickets
// start in the order of arrival, but calls of requests in progress elsewhere count
// as arrived a little earlier, since work was already spent on them, and less
// urgent roots as arrived a little later.
//
// A call may carry a reserve, the time that its request still needs after it (package
// budget). Its deadline is then earlier by the reserve, and it waits no longer than its
// part of the slack. The order stays by age: in simulated overload, least slack first
// served up to 8% less, since it prefers requests that are about to fail.
//
// A server may limit its rate as well. A token bucket then holds back the tickets
// that have a slot, and rejects those that would wait too long for a token.
//
// A server may tell its pace. The Gate then expects slot hold times by the server's
// lasting speed and its pace now (package pace), in place of the smoothed slowdown.
//
// gate.go holds the slots and the queue, rate_limit.go the bucket, ticket_order.go and ticket_wait.go set
// the order of tickets and how long they may wait, expected_hold.go estimates slot hold
// times, run_outcome.go records how runs ended, and held_slots.go estimates the slots of
// runs that go on though their callers left.
//
// A Gate does no I/O, starts no goroutine and reads no clock. It differs from
// package admission: there every request carries a priority through the whole
// chain and the admission level rises; here calls carry nothing of their root, so
// roots are limited at the entry (package overload) and the Gate only orders what
// arrives.
package gate
