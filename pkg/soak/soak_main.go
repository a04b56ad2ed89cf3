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
	defaultVMs    = 9
	defaultSeeds  = 10
	defaultAtOnce = 3
	defaultRate   = 15.0
	defaultFaulty = 8 * time.Second
	defaultCalm   = 6 * time.Second
	mostAtOnce    = 20
)

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
