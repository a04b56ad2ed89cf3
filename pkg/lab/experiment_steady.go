package lab

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// The pings of the steady experiment: a service that takes no time of its own, called by two ways in turn.
const (
	steadyTime = 8 * time.Second
	pingEvery  = 8 * time.Millisecond
	pingName   = "ping"
)

// runSteady measures what a hop adds under a load of half the capacity: pings through the entry, against
// bare HTTP calls to the same backend server, taken in turn in the same run.
func runSteady(ctx context.Context, sys System, seed uint64) (Report, error) {
	g := voltaChain()
	g.Services = append(g.Services, Service{Name: pingName, Servers: 3, Slots: 50})
	ping := Class{Name: pingName, Tier: 2, Share: 1e-9, Timeout: time.Second, Root: pingName}
	g.Classes = append([]Class{ping}, g.Classes...)
	c, err := sys.Start(ctx, g, Options{Seed: seed})
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = c.Stop() }()
	var wg sync.WaitGroup
	begin := time.Now()
	before := c.controlBytes()
	var through, bare *hdrhistogram.Histogram
	wg.Add(1)
	go func() {
		defer wg.Done()
		through, bare = c.pings(ctx, begin.Add(steadyTime))
	}()
	c.Run(ctx, Load{Seed: seed, Patience: hardRetries(), Phases: []Phase{{steadyTime, g.Capacity() / 2}}})
	wg.Wait()
	var r Report
	attempts, runs, demands := c.History.Snapshot()
	r.goodput(g, demands, window{begin.Add(time.Second), begin.Add(steadyTime)})
	r.promises(g, attempts, runs)
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r.AddedP50MS = ptr(ms(through, 50) - ms(bare, 50))
	r.AddedP99MS = ptr(ms(through, 99) - ms(bare, 99))
	r.Extra = map[string]float64{
		"through_p50_ms": ms(through, 50), "through_p99_ms": ms(through, 99),
		"bare_p50_ms": ms(bare, 50), "bare_p99_ms": ms(bare, 99), "pings": float64(through.TotalCount()),
	}
	r.ControlBytesPerS = c.controlRate(before, begin)
	return r, nil
}

// pings calls the ping service through the system and bare, in turn, until the end.
func (c *Cluster) pings(ctx context.Context, end time.Time) (through, bare *hdrhistogram.Histogram) {
	through = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	bare = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	enter := c.entry()
	straight := c.client()
	target := "http://" + at(c.serversOf(pingName)[0].Addr, portBackend)
	for i := 0; time.Now().Before(end); i++ {
		o := outgoing{service: pingName, method: http.MethodGet, path: "/" + pingName, header: pingHeader(2 * i)}
		t := time.Now()
		if rep := enter(ctx, 0, o); rep.err == nil && rep.status == http.StatusOK {
			_ = through.RecordValue(time.Since(t).Microseconds()) // within the histogram's range
		}
		o.header = pingHeader(2*i + 1)
		t = time.Now()
		if rep := send(ctx, straight, target, o); rep.err == nil {
			_ = bare.RecordValue(time.Since(t).Microseconds()) // within the histogram's range
		}
		if !clock.Sleep(ctx, pingEvery) {
			break
		}
	}
	return through, bare
}

func pingHeader(i int) http.Header {
	h := http.Header{}
	h.Set(headerLabRequest, fmt.Sprintf("ping-%d", i))
	return h
}

// controlBytes returns the control bytes of each daemon so far.
func (c *Cluster) controlBytes() map[string]int64 {
	out := map[string]int64{}
	for _, v := range c.All() {
		if v.Node != nil {
			out[v.Info.Name] = v.Node.Metrics().Count("control_bytes")
		}
	}
	return out
}

// controlRate returns the control bytes a second of the busiest daemon since begin, or nil without daemons.
func (c *Cluster) controlRate(before map[string]int64, begin time.Time) *float64 {
	if len(before) == 0 {
		return nil
	}
	most := 0.0
	for name, now := range c.controlBytes() {
		most = max(most, float64(now-before[name])/time.Since(begin).Seconds())
	}
	return &most
}
