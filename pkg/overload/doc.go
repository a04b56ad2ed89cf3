// Package overload decides how much of each kind of root request is taken in.
//
// Work below a root is multiplied, so a small service deep down can set what
// the whole system can serve. A root that is refused at its entry costs
// nothing; one whose call is refused at the bottom has wasted all work above.
// Plan gives each kind the share that the tightest service below it can
// carry: by priority, first attempts before those that come back. Every node
// works it out from the same news, so there is no coordinator, and it follows
// the demand by itself.
//
// A DecayingRate measures the demand; a RepeatBudget bounds how much of it the
// nodes themselves add by sending requests once more.
package overload
