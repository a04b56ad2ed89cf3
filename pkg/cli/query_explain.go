package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rockspoke/rockspoke/pkg/config"
)

const explainHelp = `Explain tells how a caller's request would be treated, and why: its route, service, class, tier,
policies, and the VMs that would take it.

Examples:
  rockspoke explain POST /invoices
  rockspoke explain --host fleet.example GET /positions/17`

// explainRunner holds the flags of the explain command.
type explainRunner struct {
	env  *env
	host string
}

// explainCommand returns the explain command.
func explainCommand(e *env) *ffcli.Command {
	w := &explainRunner{env: e}
	fs := e.newFlagSet("rockspoke explain")
	fs.StringVar(&w.host, "host", "", "host of the request")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "rockspoke explain [--host HOST] METHOD PATH",
		ShortHelp: "tell how a request would be treated, and why", LongHelp: explainHelp, FlagSet: fs, Exec: w.run,
	}
}

// run prints the routing and the policies that a request would get.
func (w *explainRunner) run(ctx context.Context, args []string) error {
	if len(args) != 2 || !strings.HasPrefix(args[1], "/") {
		return usagef("explain needs a method and a path, as in: explain POST /invoices")
	}
	c, err := w.env.newClient()
	if err != nil {
		return err
	}
	x, err := c.Explain(ctx, config.Match{Host: w.host, Method: strings.ToUpper(args[0]), Path: args[1]})
	if err != nil {
		return err
	}
	return w.env.printResult(x, func(t io.Writer) {
		writeRow(t, "route", orDash(x.Route))
		writeRow(t, "service", x.Service)
		writeRow(t, "class", orDash(x.Class))
		writeRow(t, "tier", x.Tier)
		writeRow(t, "once only", x.OnceOnly)
		writeRow(t, "time-out", x.Timeout)
		writeRow(t, "retries", x.Retries)
		for _, v := range x.Targets {
			writeRow(t, "target", fmt.Sprintf("weight %d, %q: %s", v.Weight, v.Selector, orDash(strings.Join(v.VMs, " "))))
		}
		for _, why := range x.Why {
			writeRow(t, "why", why)
		}
	})
}
