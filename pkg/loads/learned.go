package loads

import "github.com/rockspoke/rockspoke/pkg/callgraph"

// Learned is what is known of the runs at the servers of one service. It outlasts the loss of all processes: after one,
// in the middle of an overload, there is no calm to learn in, and a plan that lacks a part of it lets in several times
// too much.
type Learned struct {
	Service string `json:"service"`
	// CallsPerRun are how many calls of each route one run of each route makes.
	CallsPerRun map[string]callgraph.Rates `json:"calls"`
	// Times are how often each route runs at all servers of the service, and for how long.
	Times map[string]RunTiming `json:"times,omitempty"`
	// InternalRoutes are those of the routes that only backend servers call. Until that is known, calls can't be counted, and runs
	// seem to make none.
	InternalRoutes []string `json:"inner,omitempty"`
	// Demand are how many first attempts a second clients make in all of each of the routes.
	Demand map[string]float64 `json:"asked,omitempty"`
}

// RunTiming are how often a route runs a second, and for how long one run holds a slot, in seconds.
type RunTiming struct {
	Rate        float64 `json:"rate"`
	HoldSeconds float64 `json:"hold"`
}

// Runs returns the runs of each route of which all is known.
func (l *Learned) Runs() map[string]RunStats {
	runs := make(map[string]RunStats, len(l.Times))
	for route, t := range l.Times {
		runs[route] = RunStats{Rate: t.Rate, HoldSeconds: t.HoldSeconds, CallsPerRun: l.CallsPerRun[route]}
	}
	return runs
}
