package lab

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/routing"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Series is one quantity measured at several sizes.
type Series struct {
	Name  string // what was measured
	Per   string // what the size counts
	Unit  string
	Sizes []float64
	Value []float64
}

// add notes one measurement.
func (s *Series) add(size, value float64) {
	s.Sizes = append(s.Sizes, size)
	s.Value = append(s.Value, value)
}

// Slope returns the least-squares line through the measurements: the value at size 0, and its growth.
func (s *Series) Slope() (base, slope float64) {
	n := float64(len(s.Sizes))
	var sx, sy, sxx, sxy float64
	for i, x := range s.Sizes {
		sx += x
		sy += s.Value[i]
		sxx += x * x
		sxy += x * s.Value[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - slope*sx) / n, slope
}

// capacityCommand measures the slopes of docs/CAPACITY-ENTRIES.md.
func capacityCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "capacity", ShortUsage: "rockspoke-lab capacity", FlagSet: newFlags("rockspoke-lab capacity", stderr),
		ShortHelp: "measure the slopes that docs/CAPACITY-ENTRIES.md is worked out from, in about a minute",
		Exec:      func(ctx context.Context, _ []string) error { return capacitySlopes(ctx, stdout) },
	}
}

func capacitySlopes(ctx context.Context, w io.Writer) error {
	list := append(keySlopes(), memberSlope(), ruleSlope())
	hops, err := hopSlope(ctx)
	if err != nil {
		return err
	}
	daemons, err := daemonSlopes(ctx)
	if err != nil {
		return err
	}
	list = append(append(list, hops...), daemons...)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "quantity\tunit\tmeasured at size: value\tat size 0\tslope\tper")
	for _, s := range list {
		points := ""
		for i := range s.Sizes {
			points += fmt.Sprintf("%g: %.4g  ", s.Sizes[i], s.Value[i])
		}
		base, slope := s.Slope()
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%.4g\t%s\n", s.Name, s.Unit, points, base, slope, s.Per)
	}
	return t.Flush()
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// keySlopes measures what a remembered key costs within its repeat window, and after it.
func keySlopes() []Series {
	recent := Series{Name: "memory of keys in their repeat window", Per: "key", Unit: "bytes"}
	old := Series{Name: "memory of keys past their window", Per: "key", Unit: "bytes"}
	for _, n := range []int{50_000, 100_000, 200_000} {
		before := heap()
		var m onceonly.KeyMemory
		now := time.Now()
		for i := range n {
			k := onceonly.HashKey("s", fmt.Sprint(i))
			m.Begin(now, k, 1, false)
			m.Finish(now, k, wire.Ran, &onceonly.RecordedAnswer{Status: 200, Body: []byte("done")}, now)
		}
		recent.add(float64(n), heap()-before)
		// The first attempt after the window moves all of them to the old keys.
		m.Begin(now.Add(2*onceonly.DefaultWindow), onceonly.HashKey("s", "next"), 1, false)
		old.add(float64(n), heap()-before)
		runtime.KeepAlive(&m)
	}
	return []Series{recent, old}
}

// capacityServices is the number of services in the target.
const capacityServices = 18

func capacityVMs(n int) []member.VM {
	vms := make([]member.VM, n)
	for i := range vms {
		vms[i] = member.VM{
			Name: fmt.Sprintf("vm-%d", i), Service: fmt.Sprintf("svc%d", i%capacityServices), Zone: fmt.Sprintf("zone-%d", i%7),
			Peer: "127.0.0.1:8443", Labels: map[string]string{"dc": "old", "rack": fmt.Sprint(i % 40)},
		}
	}
	return vms
}

func memberSlope() Series {
	s := Series{Name: "processor time of taking a list of VMs and grouping one service", Per: "VM", Unit: "us"}
	doc := &config.Document{Version: 1, Objects: configGraph().Objects()}
	plan, err := config.Compile(doc)
	if err != nil {
		return s
	}
	for _, n := range []int{130, 260, 520} {
		vms := capacityVMs(n)
		const times = 50
		begin := time.Now()
		for range times {
			var r member.Roster
			var pool routing.Pool
			r.Refresh(vms)
			var list []routing.Candidate
			for _, v := range r.VMs() {
				list = append(list, routing.Candidate{VM: v, Labels: v.AllLabels(nil)})
			}
			routing.Grouper{Zone: "zone-1"}.Groups(&pool, plan.CallTreatment("svc1", config.Match{}), list)
		}
		s.add(float64(n), float64(time.Since(begin).Microseconds())/times)
	}
	return s
}

func ruleSlope() Series {
	s := Series{Name: "processor time of compiling a configuration of 18 services", Per: "class and policy", Unit: "us"}
	for _, n := range []int{20, 40, 80} {
		doc := &config.Document{Version: 1}
		for i := range capacityServices {
			doc.Objects = append(doc.Objects, config.Object{
				Kind: config.KindService, Name: fmt.Sprintf("svc%d", i), Labels: map[string]string{"n": fmt.Sprint(i)},
				Service: &config.ServiceSpec{Slots: 100, Connections: 1000},
			})
		}
		for i := range n {
			name := fmt.Sprintf("x%d", i)
			doc.Objects = append(doc.Objects,
				config.Object{Kind: config.KindClass, Name: name, Class: &config.ClassSpec{PathPrefix: "/" + name}},
				config.Object{Kind: config.KindPolicy, Name: name, Policy: &config.PolicySpec{Selector: fmt.Sprintf("n=%d", i%capacityServices)}})
		}
		const times = 20
		begin := time.Now()
		for range times {
			if _, err := config.Compile(doc); err != nil {
				return s
			}
		}
		s.add(float64(n), float64(time.Since(begin).Microseconds())/times)
	}
	return s
}
