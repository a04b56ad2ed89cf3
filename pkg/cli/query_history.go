package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const historyHelp = `History shows the newest versions from the platform's table; with --change, what became of
one change whose answer was lost.

Examples:
  rockspoke history --most 5
  rockspoke history --change 3f0c2a8e-4a1f-4a58-9d2e-0f3f1c1b2a77`

// historyRunner holds the flags of the history command.
type historyRunner struct {
	env         *env
	maxVersions int
	changeID    string
}

// historyCommand returns the history command.
func historyCommand(e *env) *ffcli.Command {
	w := &historyRunner{env: e}
	fs := e.newFlagSet("rockspoke history")
	fs.IntVar(&w.maxVersions, "most", 20, "most versions to show")
	fs.StringVar(&w.changeID, "change", "", "id of a change to settle")
	return &ffcli.Command{
		Name: "history", ShortUsage: "rockspoke history [--most N] [--change ID]", ShortHelp: "show versions",
		LongHelp: historyHelp, FlagSet: fs, Exec: w.run,
	}
}

// run prints the newest versions, or the version as which one change was accepted.
func (w *historyRunner) run(ctx context.Context, _ []string) error {
	c, err := w.env.newClient()
	if err != nil {
		return err
	}
	if w.changeID != "" {
		a, err := c.Settle(ctx, w.changeID)
		if err != nil {
			return err
		}
		return w.env.printResult(a, func(t io.Writer) {
			if a.Version == 0 {
				fmt.Fprintf(t, "change %s isn't in the table now\n", a.ChangeID)
				return
			}
			fmt.Fprintf(t, "change %s was accepted as version %d\n", a.ChangeID, a.Version)
		})
	}
	list, err := c.History(ctx, w.maxVersions)
	if err != nil {
		return err
	}
	return w.env.printResult(list, func(t io.Writer) {
		writeRow(t, "VERSION", "AT", "AUTHOR", "OBJECTS", "NOTE")
		for _, d := range list {
			writeRow(t, d.Version, d.At.Format(time.RFC3339), orDash(d.Author), len(d.Objects), orDash(d.Note))
		}
	})
}
