package mesh

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// benchRoutes are the routes of the benchmarked mesh; the last four are calls.
const benchRoutes, benchCalls, benchKinds, benchZones = 8, 4, 3, 3

func benchRoute(i int) string { return fmt.Sprint("route-", i) }

// benchNode is a node whose control work is measured by part.
type benchNode struct {
	*Node
	clock *clock.Manual
	seq   int64
	spent map[string]time.Duration
}

// newBenchNode returns a node beside the first server of a mesh of the given nodes in three zones and four services.
func newBenchNode(nodes int) *benchNode {
	c := clock.NewManual(time.Unix(1_000_000, 0))
	n := &Node{ip: "10.0.0.0", clock: c, random: rand.New(rand.NewPCG(1, 2)), cfg: settings.Settings{Zone: "z0", Mesh: &settings.Mesh{RetryRatio: 0.2, RetrySlack: 113}}}
	n.cfg.Listen.Peers = "10.0.0.0:15002"
	n.peers, n.events = map[string]*peer{}, make(chan func(), eventQueueSize)
	n.callLog, n.controlLog = slog.New(slog.DiscardHandler), slog.New(slog.DiscardHandler)
	n.metrics.init()
	n.stats.init()
	n.started = c.Now().Add(-time.Minute)
	state := desired.State{Version: 1}
	for i := range benchRoutes {
		state.Routes = append(state.Routes, route(benchRoute(i), desired.Repeatable, fmt.Sprint("s", i%4)))
	}
	s, err := desired.New(state)
	if err != nil {
		panic(err)
	}
	n.state.Store(s)
	n.control.logged = loggedLines{calls: make(map[string]callgraph.Rates), shares: make(map[string]bool)}
	n.control.reports, n.control.expiredReports, n.control.zoneLoads = map[string]*nodeReport{}, map[string]*nodeReport{}, map[string]*zoneLoad{}
	for i := range nodes {
		n.control.directory.Merge(directory.Record{
			Host: benchHost(i), Generation: 3, Instance: fmt.Sprint("instance-", i), Service: fmt.Sprint("s", i/benchZones%4), Zone: fmt.Sprint("z", i%benchZones),
			Release: "2.1", Slots: 60, Phase: directory.Serving, StartedMS: 1_000_000, FirstGeneration: 2,
		})
	}
	n.control.localServer.Host = n.ip
	n.control.localServer.Heartbeat(c.Now(), directory.Registration{Instance: "instance-0", Service: "s0", Zone: "z0", Slots: 60})
	n.gate.Open(60, true)
	n.publishView()
	return &benchNode{Node: n, clock: c, spent: map[string]time.Duration{}}
}

func benchHost(i int) string { return fmt.Sprintf("10.0.%d.%d", i/200, i%200) }

// report returns a report of another node, with rates that vary a little.
func (b *benchNode) report(host, service string) *loads.Report {
	vary := func(v float64) float64 { return round(v * (0.9 + 0.2*b.random.Float64())) }
	r := &loads.Report{Host: host, Epoch: 1789204436009, Seq: b.seq, Service: service, UsableSlots: vary(57), Entries: map[string]loads.Entry{}, Runs: map[string]loads.RunStats{}}
	for i := range benchRoutes - benchCalls {
		for k := range benchKinds {
			r.Entries[loads.Kind(benchRoute(i), k)] = loads.Entry{Fresh: vary(3.2), Returning: vary(0.4), WithoutCaller: vary(1.1)}
		}
	}
	for i := benchRoutes - benchCalls; i < benchRoutes; i++ {
		r.Entries[benchRoute(i)] = loads.Entry{Fresh: vary(12)}
	}
	for i := range benchRoutes / 2 {
		called := min(benchRoutes-benchCalls+i, benchRoutes-1)
		r.Runs[benchRoute(2*i)] = loads.RunStats{Rate: vary(30), HoldSeconds: vary(0.13), CallsPerRun: callgraph.Rates{benchRoute(called): vary(2), benchRoute(benchRoutes - 1): vary(4)}}
	}
	return r
}

// message returns the encoded message of another node: all reports of the zone, of which a quarter is newer than before, or
// the sums of another zone. A response has only the newer ones.
func (b *benchNode) message(from directory.Record, request bool) []byte {
	b.seq++
	m := message{From: from.Host, Zone: from.Zone, Version: 1, Digest: b.control.directory.Digest(), StateAgeKnown: true, StateAge: time.Second}
	zoneSum := func(zone string) packedZone {
		var sums []loads.ServiceSum
		for s := range 4 {
			sums = append(sums, loads.ServiceSum{Nodes: max(len(b.control.zoneHosts)/4, 1), Load: *b.report("", fmt.Sprint("s", s))})
		}
		return packedZone{Zone: zone, Body: mustPack(sums)}
	}
	if from.Zone != b.cfg.Zone {
		m.Zones = []packedZone{zoneSum(from.Zone)}
		return mustPack(m)
	}
	m.Zones = []packedZone{zoneSum("z1"), zoneSum("z2")}
	for i, r := range b.control.directory.All() {
		known := b.control.reports[r.Host]
		if r.Zone != b.cfg.Zone || (known != nil && (i+int(b.seq))%4 != 0) {
			if known != nil && request {
				m.Reports = append(m.Reports, packedReport{known.Host, known.Epoch, known.Seq, known.packed})
			}
			continue
		}
		m.Reports = append(m.Reports, packedReport{r.Host, 1789204436009, b.seq, mustPack(b.report(r.Host, r.Service))})
	}
	return mustPack(m)
}

// measure adds the CPU time of f to a part.
func (b *benchNode) measure(part string, f func()) {
	before := threadTime()
	f()
	b.spent[part] += threadTime() - before
}

// threadTime returns the CPU time of the current thread.
func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// drain runs the enqueued work.
func (b *benchNode) drain() {
	for len(b.events) > 0 {
		(<-b.events)()
	}
}

// receive merges a message and answers it if it is a request.
func (b *benchNode) receive(from directory.Record, request bool) {
	data := b.message(from, request)
	var m *message
	b.measure("merge", func() {
		m = b.mergeMessage(from.Host, data)
		b.drain()
	})
	if request {
		b.measure("send", func() { b.encodeMessage(b.newResponse(m)) })
	}
}

// exchange does the exchanges of one period: those that this node starts and as many that others start.
func (b *benchNode) exchange() {
	var targets []exchangeTarget
	b.measure("send", func() {
		targets = b.exchangeTargets(localZoneFanout, localZoneOnly)
		if b.random.Float64() < crossZoneShare {
			targets = append(targets, b.exchangeTargets(1, otherZonesOnly)...)
		}
		bodies := map[string][]byte{}
		for _, t := range targets {
			if bodies[t.zone] == nil {
				bodies[t.zone] = b.encodeMessage(b.newMessage(t.zone))
			}
		}
	})
	for _, t := range targets {
		from := directory.Record{Host: t.host, Zone: t.zone}
		b.receive(from, false)
		b.receive(from, true)
	}
}

// serve has the local server run the given requests a second for a tenth of a second, each with two calls at each of two
// routes, with up to 200 runs in progress.
func (b *benchNode) serve(runs []benchRun, perSecond int) []benchRun {
	for range perSecond / 10 {
		b.clock.Advance(100 * time.Millisecond / time.Duration(perSecond/10))
		now := b.clock.Now()
		for len(runs) > 0 && !now.Before(runs[0].ends) {
			b.measure("calls", func() { b.stats.endRun(now, runs[0].route, runs[0].run, 100*time.Millisecond, gate.Answered) })
			runs = runs[1:]
		}
		i := b.random.IntN(benchRoutes - benchCalls)
		r := benchRun{route: benchRoute(i), ends: now.Add(600 * time.Millisecond)}
		deadline := now.Add(time.Duration(1000+b.random.IntN(3000)) * time.Millisecond)
		b.measure("calls", func() {
			r.run = b.stats.beginRun(now, r.route, deadline)
			b.stats.noteEntry(now, r.route, deadline.Add(time.Second))
			for _, called := range []int{benchRoutes - benchCalls + i, benchRoutes - 1} {
				b.stats.noteCall(now, benchRoute(called), deadline)
				b.stats.noteCall(now, benchRoute(called), deadline)
				b.stats.admit(now, benchRoute(called), deadline.Sub(now), b.plan.Load().shares[benchRoute(called)])
			}
		})
		runs = append(runs, r)
	}
	return runs
}

// benchRun is a run in progress.
type benchRun struct {
	route string
	run   *callgraph.Run
	ends  time.Time
}

// BenchmarkControl measures the work of a node besides forwarding in CPU microseconds of one second, by part: sending and
// merging the messages of exchanges, reports and plans, updates of the call learner, ticks, and for 100 runs a second with
// 60 of them in progress what is counted on each call.
func BenchmarkControl(b *testing.B) {
	for _, nodes := range []int{30, 90, 300} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) { benchmarkControl(b, nodes) })
	}
}

func benchmarkControl(b *testing.B, nodes int) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	n := newBenchNode(nodes)
	n.plan.Store(&admissionPlan{})
	var runs []benchRun
	second := func() {
		for range 10 {
			runs = n.serve(runs, 100)
			now := n.clock.Now()
			n.measure("learn", func() { n.stats.updateLearner(now) })
			n.measure("tick", func() {
				for range 2 {
					n.gate.Expire(now)
					waiting := n.waitingPeers()
					n.backOffUnresponsivePeers(now, waiting)
					n.queryOverdueRequests(b.Context(), now, waiting)
					n.fetchDueState(now)
					n.sendCleared(now)
				}
			})
			if !now.Before(n.control.nextPlan) {
				n.control.nextPlan = now.Add(planPeriod)
				n.measure("report", func() { n.reportLocalLoad(now) })
				n.measure("plan", func() {
					n.electFollowers(now)
					n.updateTeamRoles(now)
					n.replan(now)
				})
			}
			if !now.Before(n.control.nextExchange) {
				n.control.nextExchange = now.Add(n.exchangePeriod())
				n.exchange()
			}
		}
	}
	for range 5 {
		second()
	}
	clear(n.spent)
	seconds := 0
	for b.Loop() {
		second()
		seconds++
	}
	sum := time.Duration(0)
	for _, part := range slices.Sorted(maps.Keys(n.spent)) {
		sum += n.spent[part]
		b.ReportMetric(float64(n.spent[part].Microseconds())/float64(seconds), part+"-us/s")
	}
	b.ReportMetric(float64(sum.Microseconds())/float64(seconds), "all-us/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkExchangeBetweenNodes measures an exchange of 30 reports between two nodes over loopback, of which a quarter is new
// at the first.
func BenchmarkExchangeBetweenNodes(b *testing.B) {
	s := newSite(b)
	for range 2 {
		s.add("a", "z", 10)
	}
	gen := newBenchNode(90)
	first, second := s.nodes[0], s.nodes[1]
	b.ReportAllocs()
	for b.Loop() {
		var body []byte
		first.enqueueAndWait(b.Context(), func() {
			gen.seq++
			for i := range 30 {
				host := benchHost(i)
				if first.control.reports[host] != nil && (i+int(gen.seq))%4 != 0 {
					first.control.reports[host].receivedAt = first.clock.Now()
					continue
				}
				r := gen.report(host, "a")
				first.control.reports[host] = &nodeReport{Report: *r, packed: mustPack(r), receivedAt: first.clock.Now()}
			}
			body = first.encodeMessage(first.newMessage("z"))
		})
		if !first.exchangeWith(b.Context(), second.ip, body) {
			b.Fatal("no answer")
		}
	}
}
