package lab

import (
	"context"
	"io"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// The store is away for most of this experiment.
const (
	outageCalm  = 2 * time.Second
	outageTime  = 7 * time.Second
	outageAfter = 2 * time.Second
	outageLoad  = 0.5
)

// runStoreOutage takes the platform away, restarts a daemon meanwhile, and sees whether calls notice.
func runStoreOutage(ctx context.Context, sys System, seed uint64) (Report, error) {
	g := voltaChain()
	c, err := sys.Start(ctx, g, Options{Seed: seed})
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = c.Stop() }()
	begin := time.Now()
	var behind float64
	stop := runStages(ctx, io.Discard, begin, []stageAt{
		{after: outageCalm, do: func() { c.Platform.SetFaults(store.Faults{Down: true}) }},
		{after: outageCalm + outageTime/3, do: func() { behind = c.restartDuringOutage(ctx) }},
		{after: outageCalm + outageTime, do: func() { c.Platform.SetFaults(store.Faults{}) }},
	})
	whole := outageCalm + outageTime + outageAfter
	c.Run(ctx, Load{Seed: seed, Patience: hardRetries(), Phases: []Phase{{whole, outageLoad * g.Capacity()}}})
	stop()
	attempts, runs, demands := c.History.Snapshot()
	var r Report
	r.goodput(g, demands, window{begin.Add(outageCalm), begin.Add(outageCalm + outageTime)})
	r.promises(g, attempts, runs)
	if c.Entries[0].Node != nil {
		r.Extra = map[string]float64{
			"served_before":           servedShare(demands, window{begin, begin.Add(outageCalm)}),
			"served_during":           servedShare(demands, window{begin.Add(outageCalm), begin.Add(outageCalm + outageTime)}),
			"restart_version_after_s": behind,
		}
	}
	return r, nil
}

// restartDuringOutage starts a backend server's daemon anew and returns how long it takes to have the
// newest configuration in force; the whole wait if it doesn't.
func (c *Cluster) restartDuringOutage(ctx context.Context) float64 {
	v := c.VMs[len(c.VMs)-1]
	if v.Node == nil {
		return 0
	}
	want := v.Node.Status().Version
	_ = v.Node.Close() // a kill
	begin := time.Now()
	if c.StartNode(ctx, v) != nil {
		return -1
	}
	for time.Since(begin) < outageTime/2 {
		if v.Node.Status().Version >= want {
			break
		}
		clock.Sleep(ctx, 10*time.Millisecond)
	}
	return time.Since(begin).Seconds()
}
