// Package ledger keeps the retry tokens of one inbound call.
//
// The entry VM gives R tokens to a root request. A node lends some of its
// balance with each outbound call, gets the rest back with the answer, and
// writes off the loan of a lost answer. Tokens are conserved: they are never
// copied, so the retries over the whole call tree are at most R.
package ledger
