package lab

import (
	"context"
	"fmt"
)

// Experiment is one measurement that each system goes through.
type Experiment struct {
	Name string
	What string
	Run  func(ctx context.Context, sys System, seed uint64) (Report, error)
	// Also names further systems that only this experiment compares.
	Also []System
}

// Experiments is the table of experiments, in the order of listings.
var Experiments = []Experiment{
	{Name: "steady", What: "half of capacity, 3 services deep: what a hop adds", Run: runSteady},
	{Name: "surge", What: "demand 3x and 10x capacity, 8 services deep with fan-out", Run: runSurge},
	{Name: "slow-deep", What: "the deepest service 5x slower, then well again", Run: runSlowDeep},
	{Name: "retry-storm", What: "a brief full outage of one service under hard-retrying callers", Run: runRetryStorm},
	{Name: "once-only", What: "lost answers, pauses, kills, leaving, cuts and outages in random mixes", Run: runOnceOnly, Also: []System{claimSystem}},
	{Name: "leave", What: "a rolling stop of every backend server under load", Run: runLeave},
	{Name: "config", What: "operators racing, store losing answers after the commit, 40 and more daemons", Run: runConfig},
	{Name: "zone-cut", What: "one zone cut off from the others and the platform, then healed", Run: runZoneCut},
	{Name: "store-outage", What: "table and object store down for long", Run: runStoreOutage},
}

// NoExperimentError reports an experiment that isn't there.
type NoExperimentError struct{ Name string }

// Error names the experiment.
func (e *NoExperimentError) Error() string {
	return fmt.Sprintf("there is no experiment %q; see rockspoke-lab list", e.Name)
}

func experimentNamed(name string) (Experiment, error) {
	for _, x := range Experiments {
		if x.Name == name {
			return x, nil
		}
	}
	return Experiment{}, &NoExperimentError{name}
}
