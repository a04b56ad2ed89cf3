package loads

import "github.com/rockspoke/rockspoke/pkg/callgraph"

// Learned is what was learned of the runs at the servers of one service. It is stored to survive the loss of all processes:
// a start during an overload has no calm period to learn in, and a plan that lacks a part of it admits several times too
// much.
type Learned struct {
	Service string `json:"service"`
	// CallsPerRun is how many calls of each route one run of each route makes.
	CallsPerRun map[string]callgraph.Rates `json:"calls"`
	// Times is how often each route runs at all servers of the service, and for how long.
	Times map[string]RunTiming `json:"times,omitempty"`
	// InternalRoutes are the routes that only backend servers call. Until they are known, calls can't be counted, and runs seem
	// to make none.
	InternalRoutes []string `json:"inner,omitempty"`
	// Demand is the clients' first attempts a second of each kind.
	Demand map[string]float64 `json:"asked,omitempty"`
}

// RunTiming is how many runs of a route start a second, and for how many seconds one holds a slot.
type RunTiming struct {
	Rate        float64 `json:"rate"`
	HoldSeconds float64 `json:"hold"`
}

// Runs returns the runs of each route that has timings.
func (l *Learned) Runs() map[string]RunStats {
	runs := make(map[string]RunStats, len(l.Times))
	for route, t := range l.Times {
		runs[route] = RunStats{Rate: t.Rate, HoldSeconds: t.HoldSeconds, CallsPerRun: l.CallsPerRun[route]}
	}
	return runs
}
