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

// applyRunner holds the flags of the apply command.
type applyRunner struct {
	env       *env
	files     stringList
	deletions stringList
	dryRun    bool
	base      int64
	flags     changeFlags
}

// stringList is the value of a flag that may be given several times.
type stringList []string

// String returns the values, separated by commas.
func (l *stringList) String() string { return strings.Join(*l, ",") }

// Set appends a value.
func (l *stringList) Set(s string) error {
	*l = append(*l, s)
	return nil
}

// applyCommand returns the apply command.
func applyCommand(e *env) *ffcli.Command {
	w := &applyRunner{env: e}
	fs := e.newFlagSet("rockspoke apply")
	fs.Var(&w.files, "f", "file of objects, - for standard input; may be given several times")
	fs.Var(&w.deletions, "delete", "object to remove, as Kind/name; may be given several times")
	fs.BoolVar(&w.dryRun, "dry-run", false, "show what would change, and change nothing")
	w.flags.register(fs)
	fs.Int64Var(&w.base, "base", 0, "version that the change is made for; 0 is the one in force")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "rockspoke apply -f FILE [--dry-run] [--wait]",
		ShortHelp: "add, replace or remove objects in one change", LongHelp: applyHelp, FlagSet: fs, Exec: w.run,
	}
}

// run sends the objects and deletions as one change, or prints its effects with --dry-run.
func (w *applyRunner) run(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return usagef("apply takes no arguments; name files with -f")
	}
	if len(w.files) == 0 && len(w.deletions) == 0 {
		return usagef("apply needs -f FILE or --delete Kind/name")
	}
	objs, err := w.readObjects()
	if err != nil {
		return err
	}
	c, err := w.env.newClient()
	if err != nil {
		return err
	}
	ch := config.Change{Base: w.base, Put: objs, Delete: w.deletions}
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
		return w.env.printResult(p, func(t io.Writer) { previewTable(t, p) })
	}
	return w.flags.submit(ctx, w.env, c, ch)
}

// readObjects returns the objects of all files, or one InvalidError with the faults of every file.
func (w *applyRunner) readObjects() ([]config.Object, error) {
	var objs []config.Object
	var invalid config.InvalidError
	for _, f := range w.files {
		data, err := w.readFile(f)
		if err != nil {
			invalid.Faults = append(invalid.Faults, config.FieldError{File: f, Msg: err.Error()})
			continue
		}
		list, err := config.Parse(f, data)
		if err != nil {
			invalid.Faults = append(invalid.Faults, err.(*config.InvalidError).Faults...)
			continue
		}
		objs = append(objs, list...)
	}
	if len(invalid.Faults) > 0 {
		return nil, &invalid
	}
	return objs, nil
}

// readFile returns the contents of a file, or of standard input for "-".
func (w *applyRunner) readFile(f string) ([]byte, error) {
	if f == "-" {
		return io.ReadAll(w.env.stdin)
	}
	return os.ReadFile(f)
}

// previewTable writes the differences, and the objects that each policy would match.
func previewTable(t io.Writer, p operator.Previewed) {
	if len(p.Differences) == 0 {
		fmt.Fprintln(t, "nothing would change")
	}
	for _, d := range p.Differences {
		writeRow(t, differenceLabel(d), d.ID)
	}
	slices.SortFunc(p.Matches, func(a, b operator.PolicyMatch) int { return strings.Compare(a.Policy, b.Policy) })
	for _, c := range p.Matches {
		writeRow(t, "policy "+c.Policy+" catches", strings.Join(c.Objects, " "))
	}
}

// differenceLabel returns "add", "remove" or "change".
func differenceLabel(d config.Difference) string {
	switch {
	case d.Before == nil:
		return "add"
	case d.After == nil:
		return "remove"
	default:
		return "change"
	}
}
