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

type historyWork struct {
	env    *env
	most   int
	change string
}

func historyCommand(e *env) *ffcli.Command {
	w := &historyWork{env: e}
	fs := e.flags("rockspoke history")
	fs.IntVar(&w.most, "most", 20, "most versions to show")
	fs.StringVar(&w.change, "change", "", "id of a change to settle")
	return &ffcli.Command{
		Name: "history", ShortUsage: "rockspoke history [--most N] [--change ID]", ShortHelp: "show versions",
		LongHelp: historyHelp, FlagSet: fs, Exec: w.run,
	}
}

func (w *historyWork) run(ctx context.Context, _ []string) error {
	c, err := w.env.client()
	if err != nil {
		return err
	}
	if w.change != "" {
		a, err := c.Settle(ctx, w.change)
		if err != nil {
			return err
		}
		return w.env.print(a, func(t io.Writer) {
			if a.Version == 0 {
				fmt.Fprintf(t, "change %s isn't in the table now\n", a.ChangeID)
				return
			}
			fmt.Fprintf(t, "change %s was accepted as version %d\n", a.ChangeID, a.Version)
		})
	}
	list, err := c.History(ctx, w.most)
	if err != nil {
		return err
	}
	return w.env.print(list, func(t io.Writer) {
		row(t, "VERSION", "AT", "AUTHOR", "OBJECTS", "NOTE")
		for _, d := range list {
			row(t, d.Version, d.At.Format(time.RFC3339), orDash(d.Author), len(d.Objects), orDash(d.Note))
		}
	})
}
