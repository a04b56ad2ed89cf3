package cli

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rockspoke/rockspoke/pkg/node"
)

const statusHelp = `Status shows one daemon in short; with --all, which daemons have the newest version in force.

Examples:
  rockspoke status
  rockspoke status --all`

type statusWork struct {
	env *env
	all bool
}

func statusCommand(e *env) *ffcli.Command {
	w := &statusWork{env: e}
	fs := e.flags("rockspoke status")
	fs.BoolVar(&w.all, "all", false, "ask every daemon which version it has in force")
	return &ffcli.Command{
		Name: "status", ShortUsage: "rockspoke status [--all]", ShortHelp: "show daemons in short",
		LongHelp: statusHelp, FlagSet: fs, Exec: w.run,
	}
}

func (w *statusWork) run(ctx context.Context, _ []string) error {
	c, err := w.env.client()
	if err != nil {
		return err
	}
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	if !w.all {
		return w.env.print(s, func(t io.Writer) { statusTable(t, s) })
	}
	r, err := c.Versions(ctx, s.Version)
	if err != nil {
		return err
	}
	return w.env.print(r, func(t io.Writer) { versionsTable(t, r) })
}

func statusTable(t io.Writer, s node.Status) {
	row(t, "VM", s.VM)
	row(t, "zone", s.Zone)
	row(t, "service", orDash(s.Service))
	row(t, "version", s.Version)
	row(t, "leaving", s.Leaving)
	row(t, "calls", fmt.Sprintf("%d running of %d, %d queued", s.Gate.Running, s.Gate.Limit, s.Gate.Queued))
	row(t, "admission level", s.Gate.Level)
	row(t, "key ranges", s.KeyRanges)
	row(t, "VMs known", s.VMs)
	row(t, "incarnation", s.Incarnation)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func versionsTable(t io.Writer, r node.VersionReport) {
	slices.Sort(r.InForce)
	slices.Sort(r.Unresponsive)
	row(t, "VM", fmt.Sprintf("VERSION %d", r.Version))
	for _, vm := range r.InForce {
		row(t, vm, "in force")
	}
	for vm, v := range r.Behind {
		row(t, vm, fmt.Sprintf("behind, has %d", v))
	}
	for _, vm := range r.Unresponsive {
		row(t, vm, "no answer")
	}
}
