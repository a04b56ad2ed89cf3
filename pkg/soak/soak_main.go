package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// The defaults of the command.
const (
	defaultVMs            = 9
	defaultSeeds          = 10
	defaultConcurrentRuns = 3
	defaultRate           = 15.0
	defaultLongRate       = 4.0
	// defaultMemoryMB is the memory of the smallest VMs, and what a process maps for its heap without using it.
	defaultMemoryMB   = 284 + 116
	defaultFaulty     = 8 * time.Second
	defaultCalm       = 6 * time.Second
	maxConcurrentRuns = 20
)

// command holds the parsed command line.
type command struct {
	opts           Options
	seeds          int
	firstSeed      uint64
	failed         bool
	concurrentRuns int
	stdout         io.Writer
}

// Main runs the command and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c := &command{stdout: stdout}
	cmd := &ffcli.Command{
		Name: "rockspoke-soak", ShortUsage: "rockspoke-soak [flags] [seed...]", FlagSet: c.flags(stderr),
		ShortHelp: "run real daemons under random faults and check their promises",
		LongHelp: "Each seed is a run of processes on loopback with its own order of faults. Every third seed has planned\n" +
			"work alone, to show requests that it cuts, and every sixth planned work and disturbances of the store.\n" +
			"Logs stay in a folder for each seed.\n\n" +
			"  rockspoke-soak -seeds 50\n  rockspoke-soak -vms 30 4711\n  rockspoke-soak -failed",
		Exec: c.exec,
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

// flags returns the flag set that fills c.
func (c *command) flags(stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("rockspoke-soak", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&c.opts.Program, "program", "bin/rockspoked", "path of rockspoked")
	fs.StringVar(&c.opts.Dir, "dir", filepath.Join(os.TempDir(), "rockspoke-soak"), "folder for settings and logs")
	fs.IntVar(&c.opts.VMs, "vms", defaultVMs, "VMs, with a backend server and a process each")
	fs.Float64Var(&c.opts.Rate, "rate", defaultRate, "requests a second into each VM")
	fs.Float64Var(&c.opts.LongRate, "long", defaultLongRate, "requests a second into each VM of which a few take long")
	fs.IntVar(&c.opts.MemoryMB, "memory", defaultMemoryMB, "bound on the data of each process in MiB; 0: none")
	fs.DurationVar(&c.opts.FaultPeriod, "faulty", defaultFaulty, "time in which faults begin")
	fs.DurationVar(&c.opts.RecoveryPeriod, "calm", defaultCalm, "time without faults afterwards")
	fs.IntVar(&c.seeds, "seeds", defaultSeeds, "how many seeds to run, if none are named")
	fs.Uint64Var(&c.firstSeed, "first", 0, "first seed; 0 draws one")
	fs.BoolVar(&c.failed, "failed", false, "run the seeds that ever broke a promise")
	fs.IntVar(&c.concurrentRuns, "at-once", defaultConcurrentRuns, "runs beside each other")
	return fs
}

// exec runs the named seeds, with -failed also the recorded ones, or else a sequence of c.seeds seeds.
func (c *command) exec(ctx context.Context, named []string) error {
	if c.failed {
		named = append(named, failedSeeds()...)
	}
	list, err := seedList(named, c.seeds, c.firstSeed)
	if err != nil {
		return err
	}
	return runSeeds(ctx, c.opts, list, min(max(c.concurrentRuns, 1), maxConcurrentRuns), c.stdout)
}
