// Package repeat limits clients' retries at the entry.
//
// A Guard remembers the keys of recent requests. A retry of a repeatable
// request joins the attempt in progress, or takes a token from the ledger that
// all attempts under the key share. Each customer's retries are limited to a
// fraction of its first attempts. Entry nodes send each other a RetryNotice of
// a request that failed after it was forwarded, so that a retry through another
// entry is charged to the remaining tokens.
package repeat
