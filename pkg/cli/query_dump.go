package cli

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rockspoke/rockspoke/pkg/node"
)

const dumpHelp = `Dump shows the state of one daemon: limits, levels, calls in progress with their retry tokens,
key ranges, peers, versions. --output json gives all of it.

Example:
  rockspoke dump --daemon 127.0.0.1:8444 --output json`

// dumpRunner holds what the dump command needs to run.
type dumpRunner struct{ env *env }

// dumpCommand returns the dump command.
func dumpCommand(e *env) *ffcli.Command {
	w := &dumpRunner{env: e}
	return &ffcli.Command{
		Name: "dump", ShortUsage: "rockspoke dump [--output json]", ShortHelp: "show the state of one daemon",
		LongHelp: dumpHelp, FlagSet: e.newFlagSet("rockspoke dump"), Exec: w.run,
	}
}

// run prints the daemon's state.
func (w *dumpRunner) run(ctx context.Context, _ []string) error {
	c, err := w.env.newClient()
	if err != nil {
		return err
	}
	d, err := c.Dump(ctx)
	if err != nil {
		return err
	}
	return w.env.printResult(d, func(t io.Writer) { dumpTable(t, d) })
}

// dumpTable writes the daemon's status, counts of its keys, calls and peer connections, and the servers it calls.
func dumpTable(t io.Writer, d node.Dump) {
	statusTable(t, d.Status)
	writeRow(t, "keys remembered", d.Keys.Recent, "and", d.Keys.Expired, "past their window")
	writeRow(t, "calls in progress", len(d.Calls))
	writeRow(t, "peer connections", d.PeerConns)
	serversTable(t, d)
}

// serversTable writes one row for each backend server that the daemon calls; LOAD is in percent.
func serversTable(t io.Writer, d node.Dump) {
	writeRow(t, "SERVER", "ZONE", "RUNNING", "LOAD", "LEVEL", "STATE")
	for _, s := range d.Servers {
		state := "well"
		switch {
		case s.Leaving:
			state = "leaving"
		case s.Ejected:
			state = "set aside"
		}
		writeRow(t, s.VM, s.Zone, s.Running, int(100*s.Load), s.Level, state)
	}
}
