// Package repeat meets callers' repeats at the entry.
//
// A Guard knows the keys of recent requests. A repeat of a repeatable request
// joins the one that runs, or takes a token from the ledger that all attempts
// under the key share. Each customer's repeats are limited to a share of its
// fresh requests. Entries send each other a Note of a request that failed after
// it was sent on, so that a repeat through another entry draws from what is left.
package repeat
