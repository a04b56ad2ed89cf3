// Package wire defines the headers that nodes exchange along with a call.
//
// A call carries one header with its root request, priority, remaining time,
// lent retry tokens and key. An answer carries one header with the outcome,
// the highest admission level in the call's subtree, and the retry tokens that
// are returned. Both are JSON, and bounded in size. Clients see only the
// outcome header and the standard Retry-After.
package wire
