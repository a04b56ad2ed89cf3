package cli

import (
	"context"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rockspoke/rockspoke/pkg/config"
)

const getHelp = `Get shows the objects of a kind, or one of them, as they are in force at the daemon asked. With
--output yaml the objects can be edited and applied again.

Examples:
  rockspoke get service
  rockspoke get policy move-ledger --output yaml
  rockspoke get all`

// getRunner holds what the get command needs to run.
type getRunner struct{ env *env }

// getCommand returns the get command.
func getCommand(e *env) *ffcli.Command {
	w := &getRunner{env: e}
	return &ffcli.Command{
		Name: "get", ShortUsage: "rockspoke get [flags] KIND|all [NAME]", ShortHelp: "show objects",
		LongHelp: getHelp, FlagSet: e.newFlagSet("rockspoke get"), Exec: w.run,
	}
}

// run prints the objects of a kind, or one of them.
func (w *getRunner) run(ctx context.Context, args []string) error {
	if len(args) == 0 || len(args) > 2 {
		return usagef("get needs a kind: service, route, class, policy, vm or all")
	}
	kind := config.Kind("")
	if args[0] != "all" {
		k, err := parseKind(args[0])
		if err != nil {
			return err
		}
		kind = k
	}
	c, err := w.env.newClient()
	if err != nil {
		return err
	}
	doc, err := c.Config(ctx)
	if err != nil {
		return err
	}
	var list []config.Object
	for _, o := range doc.Objects {
		if (kind == "" || o.Kind == kind) && (len(args) < 2 || o.Name == args[1]) {
			list = append(list, o)
		}
	}
	if len(args) == 2 && len(list) == 0 {
		return &config.ObjectNotFoundError{ID: string(kind) + "/" + args[1]}
	}
	if w.env.output == "yaml" {
		return w.env.printObjects(list)
	}
	return w.env.printResult(list, func(t io.Writer) {
		writeRow(t, "KIND", "NAME", "LABELS", "SPEC")
		for _, o := range list {
			writeRow(t, o.Kind, o.Name, labelText(o.Labels), specText(o))
		}
	})
}

// printObjects writes objects as YAML that apply accepts.
func (e *env) printObjects(list []config.Object) error {
	text, err := config.Format(list)
	if err != nil {
		return err
	}
	_, err = io.Copy(e.stdout, strings.NewReader(text))
	return err
}
