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

// statusRunner holds the flags of the status command.
type statusRunner struct {
	env *env
	all bool
}

// statusCommand returns the status command.
func statusCommand(e *env) *ffcli.Command {
	w := &statusRunner{env: e}
	fs := e.newFlagSet("rockspoke status")
	fs.BoolVar(&w.all, "all", false, "ask every daemon which version it has in force")
	return &ffcli.Command{
		Name: "status", ShortUsage: "rockspoke status [--all]", ShortHelp: "show daemons in short",
		LongHelp: statusHelp, FlagSet: fs, Exec: w.run,
	}
}

// run prints the status of one daemon, or with --all the versions of all daemons.
func (w *statusRunner) run(ctx context.Context, _ []string) error {
	c, err := w.env.newClient()
	if err != nil {
		return err
	}
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	if !w.all {
		return w.env.printResult(s, func(t io.Writer) { statusTable(t, s) })
	}
	r, err := c.Versions(ctx, s.Version)
	if err != nil {
		return err
	}
	return w.env.printResult(r, func(t io.Writer) { versionsTable(t, r) })
}

// statusTable writes the status as one row for each field.
func statusTable(t io.Writer, s node.Status) {
	writeRow(t, "VM", s.VM)
	writeRow(t, "zone", s.Zone)
	writeRow(t, "service", orDash(s.Service))
	writeRow(t, "version", s.Version)
	writeRow(t, "leaving", s.Leaving)
	writeRow(t, "calls", fmt.Sprintf("%d running of %d, %d queued", s.Gate.Running, s.Gate.Limit, s.Gate.Queued))
	writeRow(t, "admission level", s.Gate.Level)
	writeRow(t, "key ranges", s.KeyRanges)
	writeRow(t, "VMs known", s.VMs)
	writeRow(t, "incarnation", s.Incarnation)
}

// orDash returns s, or "-" if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// versionsTable writes one row for each daemon: in force, behind or unresponsive.
func versionsTable(t io.Writer, r node.VersionReport) {
	slices.Sort(r.InForce)
	slices.Sort(r.Unresponsive)
	writeRow(t, "VM", fmt.Sprintf("VERSION %d", r.Version))
	for _, vm := range r.InForce {
		writeRow(t, vm, "in force")
	}
	for vm, v := range r.Behind {
		writeRow(t, vm, fmt.Sprintf("behind, has %d", v))
	}
	for _, vm := range r.Unresponsive {
		writeRow(t, vm, "no answer")
	}
}
