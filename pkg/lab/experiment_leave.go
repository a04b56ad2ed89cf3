package lab

import (
	"context"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// The leave experiment stops one server after the other under this load.
const (
	leaveLoad  = 0.5
	leaveTime  = 18 * time.Second
	leaveStart = time.Second
	leavePause = 100 * time.Millisecond
	// leaveWarm is the wait for a started server to be warm before the next one stops.
	leaveWarm = 1100 * time.Millisecond
	leaveMost = 8 * time.Second
)

// runLeave stops every backend server in turn, as planned stops are done, and starts it again.
func runLeave(ctx context.Context, sys System, seed uint64) (Report, error) {
	g := voltaChain()
	for i := range g.Services {
		g.Services[i].Servers = 3
	}
	c, err := sys.Start(ctx, g, Options{Seed: seed})
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = c.Stop() }()
	begin := time.Now()
	var wg sync.WaitGroup
	var leaves []leaving
	wg.Add(1)
	go func() {
		defer wg.Done()
		leaves = c.rollingStop(ctx, begin.Add(leaveTime))
	}()
	c.Run(ctx, Load{Seed: seed, Patience: hardRetries(), Phases: []Phase{{leaveTime, leaveLoad * g.Capacity()}}})
	wg.Wait()
	attempts, runs, demands := c.History.Snapshot()
	var r Report
	r.goodput(g, demands, window{begin, begin.Add(leaveTime)})
	r.promises(g, attempts, runs)
	r.Cut = ptr(cutRequests(attempts, runs))
	if len(leaves) > 0 && c.Entries[0].Node != nil {
		r.NewWorkAfterLeaveS = ptr(newWorkAfter(leaves, runs).Seconds())
	}
	r.Extra = map[string]float64{"stopped": float64(len(leaves))}
	return r, nil
}

// leaving is one planned stop.
type leaving struct {
	server string
	at     time.Time
	back   time.Time
}

// rollingStop stops and starts each server. Without daemons a server just stops.
func (c *Cluster) rollingStop(ctx context.Context, end time.Time) []leaving {
	var list []leaving
	if !clock.Sleep(ctx, leaveStart) {
		return nil
	}
	for _, v := range c.VMs {
		if time.Now().After(end.Add(-time.Second)) {
			return list
		}
		l := leaving{server: v.Info.Name, at: time.Now()}
		if v.Node != nil {
			sctx, cancel := context.WithTimeout(ctx, leaveMost)
			_ = v.Node.Stop(sctx) // what it cut shows in the history
			cancel()
		}
		c.cutRunning(v)
		v.Backend.Stop()
		if !clock.Sleep(ctx, leavePause) {
			return list
		}
		if v.Backend.Start() != nil {
			return list
		}
		if v.Node != nil && c.StartNode(ctx, v) != nil {
			return list
		}
		l.back = time.Now()
		list = append(list, l)
		clock.Sleep(ctx, leaveWarm)
	}
	return list
}

// cutRunning marks the runs that are in progress on a server that stops now.
func (c *Cluster) cutRunning(v *VM) {
	c.History.update(func() {
		for _, r := range c.History.runs {
			if r.Server == v.Info.Name && !r.Started.IsZero() && r.Ended.IsZero() {
				r.Cut = true
			}
		}
	})
}

// cutRequests counts runs that a stop cut, and callers' attempts that were left without an answer or in doubt.
// A repeat that was refused for coming too often isn't one of them.
func cutRequests(attempts []Attempt, runs []Run) int {
	n := 0
	for _, r := range runs {
		if r.Cut {
			n++
		}
	}
	for _, a := range attempts {
		if !a.Served && (a.Status == 0 || (a.Outcome == wire.Unknown && a.Reason != wire.ReasonRetryBudget)) {
			n++
		}
	}
	return n
}

// newWorkAfter returns how long after the start of leaving a server still got new work.
func newWorkAfter(leaves []leaving, runs []Run) time.Duration {
	var most time.Duration
	for _, l := range leaves {
		for _, r := range runs {
			if r.Server == l.server && r.Arrived.After(l.at) && r.Arrived.Before(l.back) {
				most = max(most, r.Arrived.Sub(l.at))
			}
		}
	}
	return most
}
