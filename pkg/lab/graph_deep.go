package lab

import (
	"fmt"
	"time"
)

// deepTimes are the parts of a deep graph: a small time in each service, and a long one in the deepest.
const (
	deepTime  = 4 * time.Millisecond
	deepLast  = 160 * time.Millisecond
	deepSide  = 10 * time.Millisecond
	deepDepth = 8
)

// deepGraph is a chain of the given depth in three zones whose deepest service is the bottleneck. Half
// way down a side service is called at the same time as the next one of the chain.
func deepGraph(depth int) *Graph {
	g := &Graph{Zones: 3, Retries: 2}
	names := make([]string, depth)
	for i := range names {
		names[i] = fmt.Sprintf("s%d", i)
		g.Services = append(g.Services, Service{Name: names[i], Servers: 3, Slots: 24, Time: deepTime})
	}
	last := &g.Services[depth-1]
	last.Slots, last.Time = 8, deepLast
	g.Services = append(g.Services, Service{Name: "side", Servers: 3, Slots: 16, Time: deepSide})
	for _, c := range []Class{
		{Name: "billing", Tier: 3, OnceOnly: true, Share: 0.08},
		{Name: "reads", Tier: 2, Share: 0.42},
		{Name: "maps", Tier: 1, Share: 0.3},
		{Name: "docs", Tier: 0, Share: 0.2},
	} {
		c.Root, c.Timeout = names[0], time.Second
		c.Calls = chainCalls(c.Name, names...)
		mid := names[depth/2]
		c.Calls[mid] = []Stage{append(c.Calls[mid][0], Call{"side", c.Name})}
		g.Classes = append(g.Classes, c)
	}
	return g
}
