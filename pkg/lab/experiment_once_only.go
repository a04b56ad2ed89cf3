package lab

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// The once-only experiment: steady demand, and a fault of a random kind at random times.
const (
	onceTime   = 14 * time.Second
	onceCalm   = time.Second
	onceLoad   = 0.35
	faultEvery = 500 * time.Millisecond
	faultMin   = 200 * time.Millisecond
	faultSpan  = 1300 * time.Millisecond
)

// onceGraph has once-only work at the top, and under repeatable work.
func onceGraph() *Graph {
	g := cutGraph()
	g.Classes = []Class{
		{
			Name: "reads", Tier: 2, Share: 0.2, Timeout: time.Second, Root: "fleet-view",
			Calls: chainCalls("reads", "fleet-view", "hire-ledger"),
		},
		{
			Name: "billing", Tier: 3, OnceOnly: true, Share: 0.35, Timeout: time.Second, Root: "fleet-view",
			Calls: chainCalls("billing", "fleet-view", "hire-ledger", "yard-depot"),
		},
		{
			Name: "locks", Tier: 3, OnceOnly: true, Token: true, Share: 0.25, Timeout: time.Second, Root: "hire-ledger",
			Calls: chainCalls("locks", "hire-ledger", "yard-depot"),
		},
		{
			// A repeatable request with a once-only call below it.
			Name: "visits", Tier: 2, Share: 0.2, Timeout: time.Second, Root: "fleet-view",
			Calls: map[string][]Stage{"fleet-view": {{{"hire-ledger", "booking"}}}},
		},
		{Name: "booking", Tier: 3, OnceOnly: true, Timeout: time.Second, Root: "hire-ledger", Calls: map[string][]Stage{}},
	}
	return g
}

// onceWindow is short for the experiment, so that quiet windows begin and end within it.
const onceWindow = 4 * time.Second

// runOnceOnly counts doubles, false refusals and wrong answers under random faults.
func runOnceOnly(ctx context.Context, sys System, seed uint64) (Report, error) {
	g := onceGraph()
	c, err := sys.Start(ctx, g, Options{Seed: seed, Settings: shortWindow})
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = c.Stop() }()
	begin := time.Now()
	done := make(chan map[string]float64, 1)
	go func() { done <- c.randomFaults(ctx, seed, begin.Add(onceCalm), begin.Add(onceTime-2*time.Second)) }()
	c.Run(ctx, Load{Seed: seed, Patience: hardRetries(), OtherEntry: 0.5, Phases: []Phase{{onceTime, onceLoad * g.Capacity()}}})
	var r Report
	r.Extra = <-done
	attempts, runs, demands := c.History.Snapshot()
	r.goodput(g, demands, window{begin, begin.Add(onceTime)})
	r.promises(g, attempts, runs)
	once, served := 0, 0
	for _, d := range demands {
		if g.class(d.Class).OnceOnly {
			once++
			if d.Served {
				served++
			}
		}
	}
	r.Extra["once_only_availability"] = float64(served) / float64(max(once, 1))
	return r, nil
}

// fault is one way in which things go wrong for a while.
type fault struct {
	name  string
	begin func(ctx context.Context, c *Cluster, v *VM)
	end   func(ctx context.Context, c *Cluster, v *VM)
}

// faults is the table of random faults.
var faults = []fault{
	{
		"lost answers",
		func(_ context.Context, _ *Cluster, v *VM) { v.Backend.DropEvery(3) },
		func(_ context.Context, _ *Cluster, v *VM) { v.Backend.DropEvery(0) },
	},
	{
		"paused",
		func(_ context.Context, c *Cluster, v *VM) { c.Fabric.Freeze(v.Addr, true) },
		func(_ context.Context, c *Cluster, v *VM) { c.Fabric.Freeze(v.Addr, false) },
	},
	{
		"killed",
		func(_ context.Context, _ *Cluster, v *VM) { v.kill() },
		func(ctx context.Context, c *Cluster, v *VM) { c.revive(ctx, v) },
	},
	{
		"left",
		func(ctx context.Context, _ *Cluster, v *VM) { v.leave(ctx) },
		func(ctx context.Context, c *Cluster, v *VM) { c.revive(ctx, v) },
	},
	{
		"zone cut",
		func(_ context.Context, c *Cluster, v *VM) { c.cutZone(int(v.Addr.As4()[2])-1, true) },
		func(_ context.Context, c *Cluster, v *VM) { c.cutZone(int(v.Addr.As4()[2])-1, false) },
	},
	{
		"store down",
		func(_ context.Context, c *Cluster, _ *VM) { c.Platform.SetFaults(store.Faults{Down: true}) },
		func(_ context.Context, c *Cluster, _ *VM) { c.Platform.SetFaults(store.Faults{}) },
	},
	{
		"store loses answers",
		func(_ context.Context, c *Cluster, _ *VM) { c.Platform.SetFaults(store.Faults{LoseAnswer: true}) },
		func(_ context.Context, c *Cluster, _ *VM) { c.Platform.SetFaults(store.Faults{}) },
	},
}

// shortWindow makes repeat windows short.
func shortWindow(s *settings.Settings) {
	s.OnceOnly.Window = onceWindow
	s.OnceOnly.TokenLife = onceWindow / 2
}

// kill ends a VM's daemon and cuts its backend server's connections, as the end of the VM's life would.
func (v *VM) kill() {
	if v.Node != nil {
		_ = v.Node.Close() // on purpose
	}
	v.Backend.Stop()
}

// leaveMostShort bounds a planned stop in the middle of other faults.
const leaveMostShort = 3 * time.Second

func (v *VM) leave(ctx context.Context) {
	if v.Node != nil {
		ctx, cancel := context.WithTimeout(ctx, leaveMostShort)
		defer cancel()
		_ = v.Node.Stop(ctx) // what it cut shows in the history
	}
	v.Backend.Stop()
}

// revive starts a VM's backend server and its daemon in a new life.
func (c *Cluster) revive(ctx context.Context, v *VM) {
	for range 20 {
		if v.Backend.Start() == nil {
			break
		}
		clock.Sleep(ctx, 50*time.Millisecond)
	}
	if v.Node == nil {
		return
	}
	for range 20 {
		if c.StartNode(ctx, v) == nil {
			return
		}
		clock.Sleep(ctx, 50*time.Millisecond)
	}
}

// randomFaults begins a fault of a random kind from time to time, two at once at most, and ends all by the
// end. It returns how often each kind happened.
func (c *Cluster) randomFaults(ctx context.Context, seed uint64, from, to time.Time) map[string]float64 {
	rnd := rand.New(rand.NewPCG(seed, 11))
	counts := map[string]float64{}
	clock.Sleep(ctx, time.Until(from))
	running := make(chan struct{}, 2)
	busy := map[netip.Addr]bool{}
	kinds := map[string]bool{}
	finished := make(chan func())
	wait := 0
	finish := func() { (<-finished)(); wait-- }
	for time.Now().Before(to) {
		f, v := faults[rnd.IntN(len(faults))], c.VMs[rnd.IntN(len(c.VMs))]
		last := faultMin + time.Duration(rnd.Float64()*float64(faultSpan))
		clock.Sleep(ctx, faultEvery)
		for len(running) == cap(running) {
			finish()
		}
		if busy[v.Addr] || kinds[f.name] {
			continue
		}
		busy[v.Addr], kinds[f.name] = true, true
		counts["fault: "+f.name]++
		running <- struct{}{}
		wait++
		go func() {
			f.begin(ctx, c, v)
			clock.Sleep(ctx, last)
			f.end(ctx, c, v)
			finished <- func() {
				<-running
				busy[v.Addr], kinds[f.name] = false, false
			}
		}()
	}
	for wait > 0 {
		finish()
	}
	return counts
}
