package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const keyRangeHelp = `Key-range release gives the key ranges of a VM that is gone for good to the other nodes of its
service. The keys that it remembered are lost, so for one repeat window the new owners answer
"unknown" to callers' keys. Use it only when the VM certainly can't come back: a VM that still
runs would be a second owner until it hears of the change. --daemon must be one of the same
service. Nothing is needed for a VM that the platform's list shows as gone, or that restarts.

Example:
  rockspoke key-range release hire-ledger-2 --daemon 127.0.0.1:8444`

// keyRangeRunner holds what the key-range command needs to run.
type keyRangeRunner struct{ env *env }

// keyRangeCommand returns the key-range command.
func keyRangeCommand(e *env) *ffcli.Command {
	w := &keyRangeRunner{env: e}
	return &ffcli.Command{
		Name: "key-range", ShortUsage: "rockspoke key-range [flags] release VM",
		ShortHelp: "give a lost VM's key ranges to others", LongHelp: keyRangeHelp,
		FlagSet: e.newFlagSet("rockspoke key-range"), Exec: w.run,
	}
}

// run releases the key ranges of a VM and prints how many there were.
func (w *keyRangeRunner) run(ctx context.Context, args []string) error {
	if len(args) != 2 || args[0] != "release" {
		return usagef("key-range needs: release VM")
	}
	c, err := w.env.newClient()
	if err != nil {
		return err
	}
	r, err := c.Release(ctx, args[1])
	if err != nil {
		return err
	}
	return w.env.printResult(r, func(t io.Writer) { fmt.Fprintf(t, "%d key ranges have new owners\n", r.Ranges) })
}
