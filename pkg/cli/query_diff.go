package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rockspoke/rockspoke/pkg/config"
)

const diffHelp = `Diff shows what differs between two versions: by default between the one in force and the
one before it.

Examples:
  rockspoke diff
  rockspoke diff --from 3 --to 7`

// diffRunner holds the flags of the diff command.
type diffRunner struct {
	env      *env
	from, to int64
}

// diffCommand returns the diff command.
func diffCommand(e *env) *ffcli.Command {
	w := &diffRunner{env: e}
	fs := e.newFlagSet("rockspoke diff")
	fs.Int64Var(&w.from, "from", -1, "older version; -1 is the one before --to")
	fs.Int64Var(&w.to, "to", -1, "newer version; -1 is the one in force")
	return &ffcli.Command{
		Name: "diff", ShortUsage: "rockspoke diff [--from N] [--to N]", ShortHelp: "show what changed between versions",
		LongHelp: diffHelp, FlagSet: fs, Exec: w.run,
	}
}

// run prints the differences between two versions.
func (w *diffRunner) run(ctx context.Context, _ []string) error {
	c, err := w.env.newClient()
	if err != nil {
		return err
	}
	if w.to < 0 {
		doc, err := c.Config(ctx)
		if err != nil {
			return err
		}
		w.to = doc.Version
	}
	if w.from < 0 {
		w.from = max(w.to-1, 0)
	}
	before, err := c.Version(ctx, w.from)
	if err != nil {
		return err
	}
	after, err := c.Version(ctx, w.to)
	if err != nil {
		return err
	}
	diffs := config.Diff(before.Objects, after.Objects)
	return w.env.printResult(diffs, func(t io.Writer) {
		if len(diffs) == 0 {
			fmt.Fprintf(t, "versions %d and %d are the same\n", w.from, w.to)
		}
		for _, d := range diffs {
			writeRow(t, differenceLabel(d), d.ID)
			if d.Before != nil {
				writeRow(t, "  before", labelText(d.Before.Labels), specText(*d.Before))
			}
			if d.After != nil {
				writeRow(t, "  after", labelText(d.After.Labels), specText(*d.After))
			}
		}
	})
}
