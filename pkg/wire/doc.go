// Package wire holds what one daemon tells another along with a call.
//
// A call carries one header with its root request, priority, remaining time,
// lent retry tokens and key; an answer carries one header with the outcome,
// the highest admission level met below, and the tokens that come back. Both
// are JSON, and bounded in size. Callers see only the outcome header and the
// standard Retry-After.
package wire
