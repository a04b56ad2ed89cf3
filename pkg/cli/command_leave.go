package cli

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const leaveHelp = `Leave makes the daemon named by --daemon, and its backend server, take no new work. The
daemon hands its key ranges over and ends its calls in progress. It can't be taken back; a
restarted daemon takes part again. To let VMs leave by labels instead, use
rockspoke label vm -l SELECTOR rockspoke/leaving=true.

Example:
  rockspoke leave --daemon 127.0.0.1:8444`

// leaveRunner holds what the leave command needs to run.
type leaveRunner struct{ env *env }

// leaveCommand returns the leave command.
func leaveCommand(e *env) *ffcli.Command {
	w := &leaveRunner{env: e}
	return &ffcli.Command{
		Name: "leave", ShortUsage: "rockspoke leave --daemon IP:PORT",
		ShortHelp: "let one daemon and its backend server leave", LongHelp: leaveHelp,
		FlagSet: e.newFlagSet("rockspoke leave"), Exec: w.run,
	}
}

// run makes the one daemon leave and prints its status.
func (w *leaveRunner) run(ctx context.Context, _ []string) error {
	c, err := w.env.newClient()
	if err != nil {
		return err
	}
	if len(c.Daemons) != 1 {
		return usagef("leave needs exactly one --daemon")
	}
	s, err := c.Leave(ctx)
	if err != nil {
		return err
	}
	return w.env.printResult(s, func(t io.Writer) { statusTable(t, s) })
}
