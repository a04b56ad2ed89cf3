package soak

import (
	"context"
	_ "embed" // for the list of seeds
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// The defaults of the command.
const (
	defaultVMs    = 9
	defaultSeeds  = 10
	defaultAtOnce = 3
	defaultRate   = 15.0
	defaultFaulty = 8 * time.Second
	defaultCalm   = 6 * time.Second
	mostAtOnce    = 20
)

// FoundError reports that runs broke promises.
type FoundError struct{ Seeds []uint64 }

// Error names the seeds.
func (e *FoundError) Error() string {
	return fmt.Sprintf("promises were broken with seeds %v", e.Seeds)
}

// Main runs the command and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o Options
	fs := flag.NewFlagSet("rockspoke-soak", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&o.Program, "program", "bin/rockspoked", "path of rockspoked")
	fs.StringVar(&o.Dir, "dir", filepath.Join(os.TempDir(), "rockspoke-soak"), "folder for settings and logs")
	fs.IntVar(&o.VMs, "vms", defaultVMs, "VMs, with a backend server and a process each")
	fs.Float64Var(&o.Rate, "rate", defaultRate, "requests a second into each VM")
	fs.DurationVar(&o.Faulty, "faulty", defaultFaulty, "time in which faults begin")
	fs.DurationVar(&o.Calm, "calm", defaultCalm, "time without faults afterwards")
	seeds := fs.Int("seeds", defaultSeeds, "how many seeds to run, if none are named")
	first := fs.Uint64("first", 0, "first seed; 0 draws one")
	failed := fs.Bool("failed", false, "run the seeds that ever broke a promise")
	atOnce := fs.Int("at-once", defaultAtOnce, "runs beside each other")
	cmd := &ffcli.Command{
		Name: "rockspoke-soak", ShortUsage: "rockspoke-soak [flags] [seed...]", FlagSet: fs,
		ShortHelp: "run real daemons under random faults and check their promises",
		LongHelp: "Each seed is a run of processes on loopback with its own order of faults. Every third seed has planned\n" +
			"work alone, to show requests that it cuts. Logs stay in a folder for each seed.\n\n" +
			"  rockspoke-soak -seeds 50\n  rockspoke-soak -vms 30 4711\n  rockspoke-soak -failed",
		Exec: func(ctx context.Context, named []string) error {
			if *failed {
				named = append(named, failedSeeds()...)
			}
			list, err := seedList(named, *seeds, *first)
			if err != nil {
				return err
			}
			return runSeeds(ctx, o, list, min(max(*atOnce, 1), mostAtOnce), stdout)
		},
	}
	if err := cmd.ParseAndRun(ctx, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(stderr, "rockspoke-soak:", err)
		return 1
	}
	return 0
}

//go:embed failed_seeds.txt
var failedSeedsText string

// failedSeeds returns the seeds that ever broke a promise: the first word of each line that isn't a comment.
func failedSeeds() (seeds []string) {
	for line := range strings.Lines(failedSeedsText) {
		if f := strings.Fields(line); len(f) > 0 && f[0] != "#" {
			seeds = append(seeds, f[0])
		}
	}
	return seeds
}

// seedList returns the named seeds, or as many in a row as asked for.
func seedList(named []string, n int, first uint64) ([]uint64, error) {
	var list []uint64
	for _, text := range named {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seed %q isn't a number", text)
		}
		list = append(list, seed)
	}
	if len(list) > 0 {
		return list, nil
	}
	if first == 0 {
		first = rand.Uint64N(1 << 32)
	}
	for i := range n {
		list = append(list, first+uint64(i))
	}
	return list, nil
}

// runSeeds runs seeds, some beside each other, and prints each report.
func runSeeds(ctx context.Context, o Options, seeds []uint64, atOnce int, w io.Writer) error {
	var mu sync.Mutex
	var failed []uint64
	var all sync.WaitGroup
	networks := make(chan int, atOnce)
	for i := range atOnce {
		networks <- i + 1
	}
	var firstErr error
	for _, seed := range seeds {
		network := <-networks
		all.Go(func() {
			defer func() { networks <- network }()
			r, err := runSeed(ctx, o, seed, network)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				firstErr = errors.Join(firstErr, fmt.Errorf("seed %d: %w", seed, err))
				return
			}
			if len(r.Broken) > 0 {
				failed = append(failed, seed)
			}
			fmt.Fprint(w, r.Text())
		})
	}
	all.Wait()
	fmt.Fprintf(w, "%d seeds run, %d with broken promises %v\n", len(seeds), len(failed), failed)
	if len(failed) > 0 {
		return errors.Join(firstErr, &FoundError{failed})
	}
	return firstErr
}

// runSeed runs one seed in a folder of its own.
func runSeed(ctx context.Context, o Options, seed uint64, network int) (Report, error) {
	o.Seed, o.Network = seed, network
	o.Dir = filepath.Join(o.Dir, strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Report{}, err
	}
	f, err := os.Create(filepath.Join(o.Dir, "faults.log"))
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	o.Log = f
	return Run(ctx, o)
}
