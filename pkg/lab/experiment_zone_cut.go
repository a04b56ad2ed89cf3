package lab

import (
	"context"
	"io"
	"net/netip"
	"time"
)

// The phases of the zone cut.
const (
	cutCalm  = 2 * time.Second
	cutTime  = 5 * time.Second
	cutAfter = 4 * time.Second
	cutLoad  = 0.4
)

// cutGraph has a server of each service in each zone, a class of repeatable work, one of once-only work
// under callers' own keys, and one under tokens.
func cutGraph() *Graph {
	g := voltaChain()
	for i := range g.Services {
		g.Services[i].Servers = 3
	}
	chain := func(name string) map[string][]Stage {
		return chainCalls(name, "fleet-view", "hire-ledger", "yard-depot")
	}
	g.Classes = []Class{
		{Name: "reads", Tier: 2, Share: 0.6, Timeout: time.Second, Root: "fleet-view", Calls: chain("reads")},
		{Name: "billing", Tier: 3, OnceOnly: true, Share: 0.2, Timeout: time.Second, Root: "fleet-view", Calls: chain("billing")},
		{Name: "locks", Tier: 3, OnceOnly: true, Token: true, Share: 0.2, Timeout: time.Second, Root: "fleet-view", Calls: chain("locks")},
	}
	return g
}

// runZoneCut cuts the first zone off, and counts goodput inside and outside. Each caller stays with its zone's entry.
func runZoneCut(ctx context.Context, sys System, seed uint64) (Report, error) {
	g := cutGraph()
	c, err := sys.Start(ctx, g, Options{Seed: seed})
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = c.Stop() }()
	inside := c.Entries[0].Info.Name
	begin := time.Now()
	stop := runStages(ctx, io.Discard, begin, []stageAt{
		{after: cutCalm, do: func() { c.cutZone(0, true) }},
		{after: cutCalm + cutTime, do: func() { c.cutZone(0, false) }},
	})
	whole := cutCalm + cutTime + cutAfter
	c.Run(ctx, Load{Seed: seed, Patience: hardRetries(), Phases: []Phase{{whole, cutLoad * g.Capacity()}}})
	stop()
	attempts, runs, demands := c.History.Snapshot()
	var r Report
	r.goodput(g, demands, window{begin.Add(cutCalm), begin.Add(cutCalm + cutTime)})
	r.recovery(demands, window{begin, begin.Add(cutCalm)}, begin.Add(cutCalm+cutTime), begin.Add(whole))
	r.promises(g, attempts, runs)
	r.Extra = map[string]float64{}
	w := window{begin.Add(cutCalm), begin.Add(cutCalm + cutTime)}
	for _, class := range g.Classes {
		in, out := servedByEntry(attempts, demands, w, class.Name, inside)
		r.Extra["inside_"+class.Name] = in
		r.Extra["outside_"+class.Name] = out
	}
	return r, nil
}

// cutZone cuts a zone off from the other zones and from the platform, or heals it.
func (c *Cluster) cutZone(zone int, cut bool) {
	name := zoneName(zone)
	var in []*VM
	zoneOf := map[netip.Addr]bool{}
	for _, v := range c.All() {
		if v.Info.Zone == name {
			in = append(in, v)
			zoneOf[v.Addr] = true
		}
	}
	c.CutPlatform(in, cut)
	if !cut {
		c.Fabric.Cut(nil)
		return
	}
	c.Fabric.Cut(func(from, to netip.Addr) bool { return zoneOf[from] != zoneOf[to] })
}

// servedByEntry returns the shares of a class's requests that were served by the entry and by the others.
func servedByEntry(attempts []Attempt, demands []Demand, w window, class, entry string) (in, out float64) {
	by := map[string]string{}
	for _, a := range attempts {
		by[a.Request] = a.Entry
	}
	var inside, outside []Demand
	for _, d := range demands {
		if d.Class != class {
			continue
		}
		if by[d.ID] == entry {
			inside = append(inside, d)
		} else {
			outside = append(outside, d)
		}
	}
	return servedShare(inside, w), servedShare(outside, w)
}
