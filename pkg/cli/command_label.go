package cli

import (
	"context"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rockspoke/rockspoke/pkg/config"
)

const labelHelp = `Label sets or removes labels of one object, or of all that a selector picks.
KEY=VALUE sets a label and KEY- removes it. For VMs the selector sees the platform's
labels too, and zone, service and vm.

Examples:
  rockspoke label vm hire-ledger-0 dc=new
  rockspoke label vm -l dc=old,service=hire-ledger rockspoke/leaving=true --wait
  rockspoke label policy to-ledger stage-`

// labelRunner holds the flags of the label command.
type labelRunner struct {
	env      *env
	selector string
	flags    changeFlags
}

// labelCommand returns the label command.
func labelCommand(e *env) *ffcli.Command {
	w := &labelRunner{env: e}
	fs := e.newFlagSet("rockspoke label")
	fs.StringVar(&w.selector, "l", "", "selector of the objects to label, instead of a name")
	w.flags.register(fs)
	return &ffcli.Command{
		Name: "label", ShortUsage: "rockspoke label [flags] KIND [NAME] KEY=VALUE|KEY- ...",
		ShortHelp: "set or remove labels", LongHelp: labelHelp, FlagSet: fs, Exec: w.run,
	}
}

// run edits the labels in a change made for the version in force.
func (w *labelRunner) run(ctx context.Context, args []string) error {
	edit, err := w.parseEdit(args)
	if err != nil {
		return err
	}
	c, err := w.env.newClient()
	if err != nil {
		return err
	}
	doc, err := c.Config(ctx)
	if err != nil {
		return err
	}
	return w.flags.submit(ctx, w.env, c, config.Change{Base: doc.Version, Label: &edit})
}

// parseEdit returns the label edit that the arguments describe, or a UsageError.
func (w *labelRunner) parseEdit(args []string) (config.LabelEdit, error) {
	edit := config.LabelEdit{Selector: w.selector, Set: map[string]string{}}
	if len(args) == 0 {
		return edit, usagef("label needs a kind: service, route, class, policy or vm")
	}
	kind, err := parseKind(args[0])
	if err != nil {
		return edit, err
	}
	edit.Kind = kind
	rest := args[1:]
	if w.selector == "" {
		if len(rest) == 0 {
			return edit, usagef("label needs a name or -l SELECTOR")
		}
		edit.Name, rest = rest[0], rest[1:]
	}
	for _, a := range rest {
		key, value, set := strings.Cut(a, "=")
		switch {
		case set:
			edit.Set[key] = value
		case strings.HasSuffix(a, "-"):
			edit.Remove = append(edit.Remove, strings.TrimSuffix(a, "-"))
		default:
			return edit, usagef("%q is neither KEY=VALUE nor KEY-", a)
		}
	}
	if len(edit.Set) == 0 && len(edit.Remove) == 0 {
		return edit, usagef("label needs KEY=VALUE or KEY-")
	}
	return edit, nil
}

// parseKind returns the kind for a singular or plural name in any case, or a UsageError.
func parseKind(s string) (config.Kind, error) {
	i := slices.IndexFunc(config.Kinds, func(k config.Kind) bool {
		return strings.EqualFold(string(k), strings.TrimSuffix(s, "s")) || strings.EqualFold(string(k), s)
	})
	if i < 0 && strings.EqualFold(s, "classes") {
		return config.KindClass, nil
	}
	if i < 0 && strings.EqualFold(s, "policies") {
		return config.KindPolicy, nil
	}
	if i < 0 {
		return "", usagef("%q is none of service, route, class, policy, vm", s)
	}
	return config.Kinds[i], nil
}
