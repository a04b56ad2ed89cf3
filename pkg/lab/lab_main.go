package lab

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// The exit statuses of rockspoke-lab.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs rockspoke-lab with the arguments and returns its exit status.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &ffcli.Command{
		Name: "rockspoke-lab", ShortUsage: "rockspoke-lab <command> [flags]",
		LongHelp: "rockspoke-lab runs real daemons on loopback among fake backend servers, callers and a\nstand-in for the platform, and measures them. It ends all that it starts.",
		FlagSet:  newFlags("rockspoke-lab", stderr),
		Exec:     func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, mk := range commands {
		root.Subcommands = append(root.Subcommands, mk(stdout, stderr))
	}
	err := root.ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	default:
		fmt.Fprintf(stderr, "rockspoke-lab: %v\n", err)
		return exitFailed
	}
}

func newFlags(name string, stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	return fs
}

// commands is the table of commands; a new one is a file and a line.
var commands = []func(stdout, stderr io.Writer) *ffcli.Command{
	tryCommand, runCommand, listCommand, capacityCommand, keysCommand, platformCommand, backendCommand,
}

// tryCommand is the first command that a newcomer runs.
func tryCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := newFlags("rockspoke-lab try", stderr)
	seed := fs.Uint64("seed", 1, "seed of all random choices")
	return &ffcli.Command{
		Name: "try", ShortUsage: "rockspoke-lab try [--seed N]", FlagSet: fs,
		ShortHelp: "show rockspoke and a pass-through under the same surge, in about 20 s",
		Exec:      func(ctx context.Context, _ []string) error { return Try(ctx, stdout, *seed) },
	}
}
