package lab

import (
	"context"
	"fmt"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/config"
)

// The load of the hop measurement.
const (
	hopTime = 3 * time.Second
	hopRate = 150
)

// hopSlope measures the processor time of whole requests by the depth of their chain, with the fakes and
// callers, and without daemons for comparison.
func hopSlope(ctx context.Context) ([]Series, error) {
	through := Series{Name: "processor time of a request, daemons, fakes and callers together", Per: "hop", Unit: "us"}
	bare := Series{Name: "the same without daemons", Per: "hop", Unit: "us"}
	for _, depth := range []int{1, 2, 4} {
		for _, sys := range Systems[:2] {
			us, err := requestTime(ctx, sys, depth)
			if err != nil {
				return nil, err
			}
			if sys.Name == NameRockspoke {
				through.add(float64(depth), us)
			} else {
				bare.add(float64(depth), us)
			}
		}
	}
	return []Series{through, bare}, nil
}

func requestTime(ctx context.Context, sys System, depth int) (float64, error) {
	g := &Graph{Zones: 3, Retries: 2}
	var names []string
	for i := range depth {
		names = append(names, fmt.Sprintf("h%d", i))
		g.Services = append(g.Services, Service{Name: names[i], Servers: 3, Slots: 40, Time: 2 * time.Millisecond})
	}
	g.Classes = []Class{{Name: "reads", Tier: 2, Share: 1, Timeout: time.Second, Root: names[0], Calls: chainCalls("reads", names...)}}
	c, err := sys.Start(ctx, g, Options{Seed: 1})
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Stop() }()
	// What the daemons do at rest is taken off.
	idle := processorTime()
	clock.Sleep(ctx, time.Second)
	idle = processorTime() - idle
	before := processorTime()
	c.Run(ctx, Load{Seed: 1, Patience: hardRetries(), Phases: []Phase{{hopTime, hopRate}}})
	used := processorTime() - before - time.Duration(hopTime.Seconds()*float64(idle))
	_, _, demands := c.History.Snapshot()
	return float64(used.Microseconds()) / float64(max(len(demands), 1)), nil
}

// The cluster measurements: servers of each of four services, and then services of three servers each.
var (
	daemonServers  = []int{3, 6, 12}
	daemonServices = []int{4, 8, 14}
)

const (
	daemonSettle  = 7 * time.Second // news of started nodes goes along with exchanges for a while
	daemonIdle    = 4 * time.Second
	daemonChanges = 8
)

// daemonCosts is what one daemon spends on control, measured at several sizes.
type daemonCosts struct {
	cpu, bytes, mem, conn, change, force Series
}

func newDaemonCosts(per string) *daemonCosts {
	return &daemonCosts{
		cpu:    Series{Name: "processor time of a daemon at rest", Per: per, Unit: "% of a core"},
		bytes:  Series{Name: "control bytes of a daemon at rest", Per: per, Unit: "B/s"},
		mem:    Series{Name: "memory of a daemon with its connections to neighbours", Per: per, Unit: "kB"},
		conn:   Series{Name: "memory of connections, both ends", Per: "connection", Unit: "kB"},
		change: Series{Name: "control bytes of a daemon for one change", Per: per, Unit: "B"},
		force:  Series{Name: "time until a change is in force everywhere", Per: per, Unit: "ms"},
	}
}

// daemonSlopes measures what one daemon spends on control by the number of daemons, and of services.
func daemonSlopes(ctx context.Context) ([]Series, error) {
	byDaemon := newDaemonCosts("daemon")
	for _, servers := range daemonServers {
		if err := byDaemon.measure(ctx, daemonServices[0], servers, false); err != nil {
			return nil, err
		}
	}
	byService := newDaemonCosts("service with 3 daemons")
	for _, services := range daemonServices {
		if err := byService.measure(ctx, services, daemonServers[0], true); err != nil {
			return nil, err
		}
	}
	return []Series{
		byDaemon.cpu, byDaemon.bytes, byDaemon.mem, byDaemon.conn, byDaemon.change, byDaemon.force,
		byService.cpu, byService.bytes, byService.change,
	}, nil
}

// measure runs a cluster of the size and adds what its daemons cost; the size counted is daemons or services.
func (x *daemonCosts) measure(ctx context.Context, services, servers int, countServices bool) error {
	g := configGraph()
	g.Services = g.Services[:services]
	for i := range g.Services {
		g.Services[i].Servers = servers
	}
	empty := heap()
	c, err := StartRockspoke(ctx, g, Options{Seed: 1})
	if err != nil {
		return err
	}
	defer func() { _ = c.Stop() }()
	n := float64(len(c.All()))
	size := n
	if countServices {
		size = float64(services)
	}
	clock.Sleep(ctx, daemonSettle)
	x.mem.add(size, (heap()-empty)/n/1000)
	used, sent := processorTime(), c.controlTotal()
	clock.Sleep(ctx, daemonIdle)
	x.cpu.add(size, 100*(processorTime()-used).Seconds()/daemonIdle.Seconds()/n)
	x.bytes.add(size, (c.controlTotal()-sent)/daemonIdle.Seconds()/n)
	before, conns := heap(), c.connections()
	c.Entries[0].Node.ReportVersions(ctx, 1)
	c.Entries[1].Node.ReportVersions(ctx, 1)
	x.conn.add(c.connections()-conns, (heap()-before)/1000)
	return c.measureChanges(ctx, n, size, &x.change, &x.force)
}

// measureChanges makes some changes one after the other, and adds what one of them costs and takes.
func (c *Cluster) measureChanges(ctx context.Context, n, size float64, change, force *Series) error {
	sent := c.controlTotal()
	var slowest time.Duration
	for i := range daemonChanges {
		node := c.Entries[i%len(c.Entries)].Node
		made := time.Now()
		doc, err := node.Change(ctx, config.Change{Base: node.Document().Version, ID: fmt.Sprint("change", i), Label: &config.LabelEdit{
			Kind: config.KindService, Name: "svc0", Set: map[string]string{"i": fmt.Sprint(i)},
		}})
		if err != nil {
			return err
		}
		for !c.allAt(doc.Version) && time.Since(made) < 10*time.Second {
			clock.Sleep(ctx, time.Millisecond)
		}
		slowest = max(slowest, time.Since(made))
	}
	// Exchanges at rest go on meanwhile, and are counted in: the changes follow each other so fast that
	// they hardly matter.
	change.add(size, (c.controlTotal()-sent)/n/daemonChanges)
	force.add(size, float64(slowest.Milliseconds()))
	return nil
}

func (c *Cluster) allAt(version int64) bool {
	for _, v := range c.All() {
		if v.Node.Document().Version < version {
			return false
		}
	}
	return true
}

func (c *Cluster) controlTotal() float64 {
	sum := int64(0)
	for _, b := range c.controlBytes() {
		sum += b
	}
	return float64(sum)
}

func (c *Cluster) connections() float64 {
	n := 0
	for _, v := range c.All() {
		n += v.Node.Dump().PeerConns
	}
	return float64(n)
}
