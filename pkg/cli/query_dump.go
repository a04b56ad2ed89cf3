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

type dumpWork struct{ env *env }

func dumpCommand(e *env) *ffcli.Command {
	w := &dumpWork{env: e}
	return &ffcli.Command{
		Name: "dump", ShortUsage: "rockspoke dump [--output json]", ShortHelp: "show the state of one daemon",
		LongHelp: dumpHelp, FlagSet: e.flags("rockspoke dump"), Exec: w.run,
	}
}

func (w *dumpWork) run(ctx context.Context, _ []string) error {
	c, err := w.env.client()
	if err != nil {
		return err
	}
	d, err := c.Dump(ctx)
	if err != nil {
		return err
	}
	return w.env.print(d, func(t io.Writer) { dumpTable(t, d) })
}

func dumpTable(t io.Writer, d node.Dump) {
	statusTable(t, d.Status)
	row(t, "keys remembered", d.Keys.Recent, "and", d.Keys.Expired, "past their window")
	row(t, "calls in progress", len(d.Calls))
	row(t, "peer connections", d.PeerConns)
	serversTable(t, d)
}

func serversTable(t io.Writer, d node.Dump) {
	row(t, "SERVER", "ZONE", "RUNNING", "LOAD", "LEVEL", "STATE")
	for _, s := range d.Servers {
		state := "well"
		switch {
		case s.Leaving:
			state = "leaving"
		case s.Ejected:
			state = "set aside"
		}
		row(t, s.VM, s.Zone, s.Running, int(100*s.Load), s.Level, state)
	}
}
