// Package overload decides how much of each kind of root request is admitted.
//
// Each root request causes calls to further services, so a small service at the
// bottom of the call graph can limit what the whole system can serve. A root
// rejected at its entry costs nothing; one whose call is rejected at the bottom
// has wasted all the work above it. PlanShares gives each kind the share that the
// bottleneck service below it can serve: by priority, and first attempts before
// clients' retries. Every node computes the plan from the same reports, so no
// coordinator is needed and the plan follows the demand.
//
// plan.go holds the steps of the plan. plan_flows.go ranks the first attempts and
// the retries of all kinds, plan_minimum_share.go grants each kind a minimum
// first, and plan_weighted_shares.go fills the bottleneck service, found by
// plan_bottleneck.go, with the flows of one rank. plan_success.go holds the rules for kinds whose admitted requests fail, and
// calls_per_request.go how many calls to a service depend on each other: one lost call loses all of them.
//
// A UsableFractionController (usable_fraction_controller.go) says which fraction
// of a server's slots the plan may count on, a DecayingRate (decaying_rate.go)
// measures demand, an AdmissionBucket (admission_bucket.go) admits a share of a
// flow, and a RetryBudget (retry_budget.go) bounds the load that the nodes add
// with their own retries.
package overload
