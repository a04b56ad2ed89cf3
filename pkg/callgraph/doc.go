// Package callgraph learns which requests make which calls.
//
// Calls carry no identity of the request that makes them. But the node beside a
// backend server sees which runs are in progress there when the server makes a
// call, and a call ends with its run at the latest. The Learner (learner.go)
// attributes each call to the runs that may have made it, in shares, and counts
// the calls of whole runs.
//
// Its input goes through runs_in_progress.go, which adds up the time that the runs
// of each route spend, and attribute_call.go, which weights the runs by their time
// limits and by the calls a second of their routes; late_calls.go measures how
// late a busy node sees calls. Some times a second
// rates_by_expectation_maximization.go recomputes those rates from the calls of
// the last seconds, and forget_old_evidence.go lets older evidence decay. The
// result is in calls_per_run.go; restored_calls.go replaces it after a restart.
//
// possible_callers.go finds the runs that may have made one call, and the calls that
// they still have to make.
//
// request_cost.go walks down the graph and computes how much of each service's
// slots one root request takes.
package callgraph
