package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rockspoke/rockspoke/pkg/node"
)

const topHelp = `Top shows, again and again, what one daemon sees of the backend servers that it calls.

Example:
  rockspoke top --every 2s --times 10`

// topRunner holds the flags of the top command.
type topRunner struct {
	env   *env
	every time.Duration
	times int
}

// topCommand returns the top command.
func topCommand(e *env) *ffcli.Command {
	w := &topRunner{env: e}
	fs := e.newFlagSet("rockspoke top")
	fs.DurationVar(&w.every, "every", time.Second, "time between looks")
	fs.IntVar(&w.times, "times", 0, "number of looks; 0 goes on until interrupted")
	return &ffcli.Command{
		Name: "top", ShortUsage: "rockspoke top [--every D] [--times N]", ShortHelp: "watch one daemon",
		LongHelp: topHelp, FlagSet: fs, Exec: w.run,
	}
}

// run prints the daemon's state every w.every until w.times is reached or ctx is done.
func (w *topRunner) run(ctx context.Context, _ []string) error {
	if w.every < 100*time.Millisecond {
		return usagef("--every must be at least 100ms")
	}
	c, err := w.env.newClient()
	if err != nil {
		return err
	}
	for i := 0; w.times == 0 || i < w.times; i++ {
		d, err := c.Dump(ctx)
		if err != nil {
			return err
		}
		if err := w.env.printResult(d, func(t io.Writer) { topTable(t, d) }); err != nil {
			return err
		}
		select {
		case <-time.After(w.every):
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// topTable writes a summary line and the servers that the daemon calls.
func topTable(t io.Writer, d node.Dump) {
	s := d.Status
	fmt.Fprintf(t, "%s %s: %d running of %d, %d queued, level %v, %d calls in progress\n",
		d.At.Format(time.TimeOnly), s.VM, s.Gate.Running, s.Gate.Limit, s.Gate.Queued, s.Gate.Level, len(d.Calls))
	serversTable(t, d)
}
