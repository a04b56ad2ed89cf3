// Package ledger keeps the retry tokens of one inbound call.
//
// The entry puts R tokens into a root request. A node that calls on lends some
// of its balance with each outbound call, gets what is left back with the
// answer, and writes off what a lost answer took. Tokens are conserved: no
// copy is ever made, so the attempts beyond the first, over the whole tree,
// are at most R.
package ledger
