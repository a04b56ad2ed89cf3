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
// plan.go holds the plan's steps. plan_flows.go puts first and returning
// attempts of all kinds into ranks, plan_least_part.go gives each kind a
// part before all else, and plan_weighed_shares.go fills the tightest service,
// which plan_tightest_service.go finds, with the flows of one rank.
//
// A RoomControl (room_control.go) says which part of a server's room may be
// planned for, a DecayingRate (decaying_rate.go) measures the demand, and a
// RepeatBudget (repeat_budget.go) bounds how much of it the nodes themselves
// add by sending requests once more.
package overload
