// Package fairshare divides what a node admits of one kind of request among teams.
//
// Quotas bound what a team may ask for, and the plan bounds what a kind gets in all. Below both, a team that sends many
// times its usual would take the capacity of all others, since requests are admitted as they come. A Divider
// (divider.go) counts the demand of each team and admits by max-min fairness (level.go): every team gets what it asks for up to a common
// level, and what a team doesn't need goes to the others.
//
// Each node divides its own part. Clients of a team connect to any node, so that the parts of all nodes together are close to
// fair, and a node that is cut off or has just started needs no word from others. The state is bounded.
package fairshare
