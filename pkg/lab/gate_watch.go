package lab

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// watchGates writes, step by step, how the gates before a service's backend servers stand.
func (c *Cluster) watchGates(ctx context.Context, w io.Writer, service string) {
	begin := time.Now()
	for clock.Sleep(ctx, recoveryStep) {
		fmt.Fprintf(w, "%6.2f", time.Since(begin).Seconds())
		for _, v := range c.serversOf(service) {
			if v.Node == nil {
				continue
			}
			g := v.Node.Status().Gate
			fmt.Fprintf(w, "  %s: limit %d running %d queued %d level %v own %v",
				v.Info.Name, g.Limit, g.Running, g.Queued, g.Level, g.OwnTime.Round(time.Millisecond))
		}
		for _, v := range c.Entries {
			if v.Node != nil {
				fmt.Fprintf(w, "  %s: %v", v.Info.Name, v.Node.Dump().Levels)
				break
			}
		}
		fmt.Fprintln(w)
	}
}
