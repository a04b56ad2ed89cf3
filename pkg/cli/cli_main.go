package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// commands lists the constructors of all commands: those that change something first, then queries.
var commands = []func(*env) *ffcli.Command{
	applyCommand, labelCommand, leaveCommand, keyRangeCommand,
	getCommand, statusCommand, historyCommand, diffCommand, explainCommand, dumpCommand, topCommand, traceCommand, heldBackCommand,
	completionCommand,
}

const rootHelp = `rockspoke changes and shows the configuration of a call graph, and shows its daemons.

Commands change something: apply, label, leave, key-range.
Queries change nothing:    get, status, history, diff, explain, dump, top, trace, held-back, completion.

Every flag can be set by an environment variable: --daemon is ROCKSPOKE_DAEMON.

Exit status: 0 done; 1 refused or failed, nothing was changed; 2 wrong use;
3 another operator's change came first, nothing was changed; 4 it isn't known
whether the change was accepted; 5 no daemon could be reached.

Example:
  export ROCKSPOKE_DAEMON=127.0.0.1:8444 ROCKSPOKE_CA=keys/ca.crt
  export ROCKSPOKE_CERT=keys/ama.crt ROCKSPOKE_KEY=keys/ama.key
  rockspoke get service
  rockspoke label vm -l dc=old rockspoke/leaving=true --wait`

// Main runs rockspoke with the command-line arguments args and returns its exit status.
func Main(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	e := &env{stdin: stdin, stdout: stdout, stderr: stderr}
	fs := e.newFlagSet("rockspoke")
	root := &ffcli.Command{
		Name: "rockspoke", ShortUsage: "rockspoke <command> [flags] [arguments]", LongHelp: rootHelp, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix("ROCKSPOKE")},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("there is no command %q; see rockspoke --help", args[0])
			}
			return flag.ErrHelp
		},
	}
	for _, newCommand := range commands {
		root.Subcommands = append(root.Subcommands, flagsAnywhere(newCommand(e)))
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	if err != nil {
		fmt.Fprintf(stderr, "rockspoke: %v\n", err)
		if hint := hintFor(err); hint != "" {
			fmt.Fprintln(stderr, hint)
		}
	}
	return exitStatus(err)
}

// flagsAnywhere makes c accept flags after its arguments too, and returns c.
func flagsAnywhere(c *ffcli.Command) *ffcli.Command {
	exec := c.Exec
	c.Exec = func(ctx context.Context, args []string) error {
		var positional []string
		for len(args) > 0 {
			positional = append(positional, args[0])
			if err := c.FlagSet.Parse(args[1:]); err != nil {
				return &UsageError{err.Error()}
			}
			args = c.FlagSet.Args()
		}
		return exec(ctx, positional)
	}
	return c
}
