package lab

import (
	"context"
	"io"
	"time"
)

// The phases and the load of the slow-deep experiment.
const (
	slowCalm   = 2500 * time.Millisecond
	slowTime   = 4 * time.Second
	slowAfter  = 5 * time.Second
	slowLoad   = 0.7
	slowFactor = 5
)

// runSlowDeep measures recovery after the deepest service was slow for a while.
func runSlowDeep(ctx context.Context, sys System, seed uint64) (Report, error) {
	g := deepGraph(5)
	deepest := "s4"
	return runCause(ctx, sys, seed, g, causePlan{
		calm: slowCalm, cause: slowTime, after: slowAfter, load: slowLoad,
		begin: func(c *Cluster) { c.slowService(deepest, slowFactor) },
		end:   func(c *Cluster) { c.slowService(deepest, 1) },
	})
}

// causePlan is an experiment in which something goes wrong for a while under steady demand.
type causePlan struct {
	calm, cause, after time.Duration
	load               float64 // of the capacity
	begin, end         func(*Cluster)
	options            Options
	otherEntry         float64
}

func runCause(ctx context.Context, sys System, seed uint64, g *Graph, p causePlan) (Report, error) {
	p.options.Seed = seed
	c, err := sys.Start(ctx, g, p.options)
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = c.Stop() }()
	begin := time.Now()
	stop := runStages(ctx, io.Discard, begin, []stageAt{
		{after: p.calm, do: func() { p.begin(c) }},
		{after: p.calm + p.cause, do: func() { p.end(c) }},
	})
	whole := p.calm + p.cause + p.after
	c.Run(ctx, Load{Seed: seed, Patience: hardRetries(), OtherEntry: p.otherEntry, Phases: []Phase{{whole, p.load * g.Capacity()}}})
	stop()
	attempts, runs, demands := c.History.Snapshot()
	var r Report
	r.goodput(g, demands, window{begin, begin.Add(whole)})
	r.recovery(demands, window{begin, begin.Add(p.calm)}, begin.Add(p.calm+p.cause), begin.Add(whole))
	r.promises(g, attempts, runs)
	r.Extra = map[string]float64{
		"served_before_cause": servedShare(demands, window{begin, begin.Add(p.calm)}),
		"served_during_cause": servedShare(demands, window{begin.Add(p.calm), begin.Add(p.calm + p.cause)}),
		"served_after_cause":  servedShare(demands, window{begin.Add(p.calm + p.cause), begin.Add(whole)}),
		"wasted_runs_share":   wastedShare(runs, demands),
	}
	return r, nil
}
