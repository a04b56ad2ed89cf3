package lab

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// The times of a try for each system: calm, then demand surges while the deepest service is slow, then calm.
const (
	tryCalm  = 2 * time.Second
	tryStorm = 2500 * time.Millisecond
	tryAfter = 3 * time.Second
)

// The load of a try, as shares of the capacity.
const (
	tryLoad  = 0.7
	trySurge = 2.5
	trySlow  = 4
)

// Try runs the first demonstration: the same surge and slow service with and without rockspoke.
func Try(ctx context.Context, w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "A three-service chain in three zones on loopback; demand surges to %.1fx of capacity\n", trySurge)
	fmt.Fprintf(w, "while the deepest service is %dx slower, and callers retry hard.\n\n", trySlow)
	var reports []Report
	var refusals []map[string]int
	for _, name := range []string{NameRockspoke, NamePassThrough} {
		sys, err := systemNamed(name)
		if err != nil {
			return err
		}
		r, refused, err := tryOne(ctx, w, sys, seed)
		if err != nil {
			return err
		}
		reports = append(reports, r)
		refusals = append(refusals, refused)
	}
	return writeTry(w, reports, refusals)
}

func tryOne(ctx context.Context, w io.Writer, sys System, seed uint64) (Report, map[string]int, error) {
	g := voltaChain()
	fmt.Fprintf(w, "%-13s starting ...", sys.Name)
	c, err := sys.Start(ctx, g, Options{Seed: seed})
	if err != nil {
		return Report{}, nil, err
	}
	defer func() { _ = c.Stop() }()
	rate := g.Capacity() * tryLoad
	m := startMeter()
	begin := time.Now()
	stages := []stageAt{
		{0, " calm ...", nil},
		{tryCalm, " surge and slow service ...", func() { c.slowService("yard-depot", trySlow) }},
		{tryCalm + tryStorm, " calm again ...", func() { c.slowService("yard-depot", 1) }},
	}
	stop := runStages(ctx, w, begin, stages)
	c.Run(ctx, Load{Seed: seed, Patience: hardRetries(), OtherEntry: 0.3, Phases: []Phase{
		{tryCalm, rate},
		{tryStorm, g.Capacity() * trySurge},
		{tryAfter, rate},
	}})
	stop()
	fmt.Fprintln(w, " done")
	r := Report{Experiment: "try", System: sys.Name, Seed: seed, BusyShare: ptr(m.share())}
	r.Valid = *r.BusyShare < busyLimit
	attempts, runs, demands := c.History.Snapshot()
	r.goodput(g, demands, window{begin, begin.Add(tryCalm + tryStorm + tryAfter)})
	r.recovery(demands, window{begin, begin.Add(tryCalm)}, begin.Add(tryCalm+tryStorm), begin.Add(tryCalm+tryStorm+tryAfter))
	r.promises(g, attempts, runs)
	return r, refusedByClass(attempts), nil
}

func refusedByClass(attempts []Attempt) map[string]int {
	out := map[string]int{}
	for _, a := range attempts {
		if !a.Served {
			out[a.Class]++
		}
	}
	return out
}

// slowService multiplies the service time of every server of a service.
func (c *Cluster) slowService(service string, factor float64) {
	for _, v := range c.serversOf(service) {
		v.Backend.Slow(factor)
	}
}

// stageAt is something that happens at a time after the beginning.
type stageAt struct {
	after time.Duration
	say   string
	do    func()
}

// runStages does each thing at its time; the function it returns waits for the end of that.
func runStages(ctx context.Context, w io.Writer, begin time.Time, stages []stageAt) func() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, s := range stages {
			if !clock.Sleep(ctx, time.Until(begin.Add(s.after))) {
				return
			}
			if s.do != nil {
				s.do()
			}
			fmt.Fprint(w, s.say)
		}
	}()
	return func() { <-done }
}

func writeTry(w io.Writer, reports []Report, refusals []map[string]int) error {
	t := tabwriter.NewWriter(w, 0, 0, 3, ' ', 0)
	fmt.Fprintf(t, "\n\t%s\t%s\n", reports[0].System, reports[1].System)
	row := func(name string, cell func(i int) string) {
		fmt.Fprintf(t, "%s\t%s\t%s\n", name, cell(0), cell(1))
	}
	row("whole requests served, of those possible", func(i int) string { return fmt.Sprintf("%.0f%%", 100**reports[i].GoodputRatio) })
	for _, class := range voltaChain().Classes {
		row("  "+class.Name+": served / attempts not served", func(i int) string {
			return fmt.Sprintf("%.0f%% / %d", 100*reports[i].ByClass[class.Name], refusals[i][class.Name])
		})
	}
	row("recovery after the cause ended", func(i int) string {
		if !*reports[i].Recovered {
			return fmt.Sprintf("not within %.1f s", *reports[i].RecoveryS)
		}
		return fmt.Sprintf("%.2f s", *reports[i].RecoveryS)
	})
	row("most retries of one request", func(i int) string { return fmt.Sprint(*reports[i].MaxRetries) })
	row("once-only work run twice", func(i int) string { return fmt.Sprint(*reports[i].Doubles) })
	row("false \"not-run\" answers", func(i int) string { return fmt.Sprint(*reports[i].FalseNot) })
	row("wrong answers", func(i int) string { return fmt.Sprint(*reports[i].Wrong) })
	return t.Flush()
}

// busyLimit is the share of the machine's processors above which a run doesn't count.
const busyLimit = 0.5
