package lab

import (
	"context"
	"time"
)

// The phases of the retry storm.
const (
	stormCalm  = 2500 * time.Millisecond
	stormTime  = 2 * time.Second
	stormAfter = 5 * time.Second
	stormLoad  = 0.75
)

// runRetryStorm measures recovery after a full outage of the deepest service while callers retry hard.
func runRetryStorm(ctx context.Context, sys System, seed uint64) (Report, error) {
	g := deepGraph(5)
	down := func(v bool) func(*Cluster) {
		return func(c *Cluster) {
			for _, x := range c.serversOf("s4") {
				x.Backend.Down(v)
			}
		}
	}
	r, err := runCause(ctx, sys, seed, g, causePlan{
		calm: stormCalm, cause: stormTime, after: stormAfter, load: stormLoad, otherEntry: 0.3,
		begin: down(true), end: down(false),
	})
	if r.Extra != nil {
		r.Extra["retry_bound"] = float64(g.Retries)
	}
	return r, err
}
