package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/operator"
)

const applyHelp = `Apply adds or replaces the objects of YAML files in one change: all of them or none.
Objects that the files don't name stay; --delete removes named ones.

Examples:
  rockspoke apply -f examples/volta/config.yaml --wait
  rockspoke apply -f policy.yaml --dry-run
  rockspoke apply --delete Policy/move-ledger`

type applyWork struct {
	env    *env
	files  stringList
	drop   stringList
	dryRun bool
	base   int64
	flags  changeFlags
}

// stringList is a flag that may be given several times.
type stringList []string

// String shows the list.
func (l *stringList) String() string { return strings.Join(*l, ",") }

// Set adds to the list.
func (l *stringList) Set(s string) error {
	*l = append(*l, s)
	return nil
}

func applyCommand(e *env) *ffcli.Command {
	w := &applyWork{env: e}
	fs := e.flags("rockspoke apply")
	fs.Var(&w.files, "f", "file of objects, - for standard input; may be given several times")
	fs.Var(&w.drop, "delete", "object to remove, as Kind/name; may be given several times")
	fs.BoolVar(&w.dryRun, "dry-run", false, "show what would change, and change nothing")
	w.flags.register(fs)
	fs.Int64Var(&w.base, "base", 0, "version that the change is made for; 0 is the one in force")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "rockspoke apply -f FILE [--dry-run] [--wait]",
		ShortHelp: "add, replace or remove objects in one change", LongHelp: applyHelp, FlagSet: fs, Exec: w.run,
	}
}

func (w *applyWork) run(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return usagef("apply takes no arguments; name files with -f")
	}
	if len(w.files) == 0 && len(w.drop) == 0 {
		return usagef("apply needs -f FILE or --delete Kind/name")
	}
	objs, err := w.read()
	if err != nil {
		return err
	}
	c, err := w.env.client()
	if err != nil {
		return err
	}
	ch := config.Change{Base: w.base, Put: objs, Delete: w.drop}
	if ch.Base == 0 {
		doc, err := c.Config(ctx)
		if err != nil {
			return err
		}
		ch.Base = doc.Version
	}
	if w.dryRun {
		ch.ID = "dry-run"
		p, err := c.Preview(ctx, ch)
		if err != nil {
			return err
		}
		return w.env.print(p, func(t io.Writer) { previewTable(t, p) })
	}
	return w.flags.make(ctx, w.env, c, ch)
}

// read takes in every file, and reports the faults of all of them together.
func (w *applyWork) read() ([]config.Object, error) {
	var objs []config.Object
	var bad config.InvalidError
	for _, f := range w.files {
		data, err := w.readFile(f)
		if err != nil {
			bad.Faults = append(bad.Faults, config.FieldError{File: f, Msg: err.Error()})
			continue
		}
		list, err := config.Parse(f, data)
		if err != nil {
			bad.Faults = append(bad.Faults, err.(*config.InvalidError).Faults...)
			continue
		}
		objs = append(objs, list...)
	}
	if len(bad.Faults) > 0 {
		return nil, &bad
	}
	return objs, nil
}

func (w *applyWork) readFile(f string) ([]byte, error) {
	if f == "-" {
		return io.ReadAll(w.env.stdin)
	}
	return os.ReadFile(f)
}

func previewTable(t io.Writer, p operator.Previewed) {
	if len(p.Differences) == 0 {
		fmt.Fprintln(t, "nothing would change")
	}
	for _, d := range p.Differences {
		row(t, differenceWord(d), d.ID)
	}
	slices.SortFunc(p.Matches, func(a, b operator.PolicyMatch) int { return strings.Compare(a.Policy, b.Policy) })
	for _, c := range p.Matches {
		row(t, "policy "+c.Policy+" catches", strings.Join(c.Objects, " "))
	}
}

func differenceWord(d config.Difference) string {
	switch {
	case d.Before == nil:
		return "add"
	case d.After == nil:
		return "remove"
	default:
		return "change"
	}
}
