package lab

import (
	"context"
	"time"
)

// The phases of the surge experiment.
const (
	surgeCalm  = 2 * time.Second
	surgeTime  = 4 * time.Second
	surgeRest  = 3 * time.Second
	surgeLow   = 0.6
	surgeThree = 3
	surgeTen   = 10
	// surgeSettle is left out at the start of each surge's window: goodput is counted while it lasts.
	surgeSettle = 500 * time.Millisecond
)

// runSurge measures goodput while demand is 3 and then 10 times the capacity. The main figures are those of
// 10x; those of 3x stand under extra.
func runSurge(ctx context.Context, sys System, seed uint64) (Report, error) {
	g := deepGraph(deepDepth)
	c, err := sys.Start(ctx, g, Options{Seed: seed})
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = c.Stop() }()
	capacity := g.Capacity()
	phases := []Phase{
		{surgeCalm, surgeLow * capacity},
		{surgeTime, surgeThree * capacity},
		{surgeRest, surgeLow * capacity},
		{surgeTime, surgeTen * capacity},
		{surgeRest, surgeLow * capacity},
	}
	begin := time.Now()
	c.Run(ctx, Load{Seed: seed, Patience: hardRetries(), OtherEntry: 0.3, Phases: phases})
	attempts, runs, demands := c.History.Snapshot()
	three := window{begin.Add(surgeCalm + surgeSettle), begin.Add(surgeCalm + surgeTime)}
	tenBegin := begin.Add(surgeCalm + surgeTime + surgeRest)
	ten := window{tenBegin.Add(surgeSettle), tenBegin.Add(surgeTime)}
	var at3, r Report
	at3.goodput(g, demands, three)
	r.goodput(g, demands, ten)
	r.promises(g, attempts, runs)
	r.recovery(demands, window{begin, begin.Add(surgeCalm)}, tenBegin.Add(surgeTime), tenBegin.Add(surgeTime+surgeRest))
	r.Extra = map[string]float64{
		"goodput_ratio_3x": *at3.GoodputRatio, "billing_3x": at3.ByClass["billing"], "billing_10x": r.ByClass["billing"],
		"wasted_runs_share": wastedShare(runs, demands),
	}
	return r, nil
}

// wastedShare returns the part of the finished runs whose request was never served.
func wastedShare(runs []Run, demands []Demand) float64 {
	served := map[string]bool{}
	for _, d := range demands {
		served[d.ID] = d.Served
	}
	all, wasted := 0, 0
	for _, r := range runs {
		if r.Started.IsZero() {
			continue
		}
		all++
		if !served[r.Request] {
			wasted++
		}
	}
	return float64(wasted) / float64(max(all, 1))
}
