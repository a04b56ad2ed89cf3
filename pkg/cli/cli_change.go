package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/rockspoke/rockspoke/pkg/client"
	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/operator"
)

// pollPeriod is the interval at which waitInForce queries the daemons' versions.
const pollPeriod = 200 * time.Millisecond

// sortedKeys returns the keys of m in order.
func sortedKeys(m map[string]string) []string { return slices.Sorted(maps.Keys(m)) }

// submitChange sends a change under a new id. If the response is lost, it looks the change up by that id; if that does
// not find it, the error is an UnknownOutcomeError.
func (e *env) submitChange(ctx context.Context, c *client.Client, ch config.Change) (operator.Accepted, error) {
	ch.ID = uuid.NewString()
	a, err := c.Change(ctx, ch)
	var lost *client.LostResponseError
	if !errors.As(err, &lost) {
		return a, asUnknownOutcome(ch.ID, err)
	}
	// The daemon may have committed the change before its response was lost, so the outcome is looked up in the
	// platform's table. A change that isn't in the table may still be in flight, so its absence proves nothing.
	settled, settleErr := c.Settle(ctx, ch.ID)
	if settleErr == nil && settled.Version > 0 {
		return settled, nil
	}
	return a, &UnknownOutcomeError{ch.ID, err}
}

// asUnknownOutcome wraps err in an UnknownOutcomeError if the daemon reported that the change's outcome is unknown, and
// returns it unchanged otherwise.
func asUnknownOutcome(id string, err error) error {
	var p *operator.Problem
	if errors.As(err, &p) && p.Kind == operator.ProblemUnknown {
		return &UnknownOutcomeError{id, err}
	}
	return err
}

// waitInForce polls until every daemon has the version in force. After the given time it prints the daemons that are
// behind or unresponsive, and returns a NotInForceError.
func (e *env) waitInForce(ctx context.Context, c *client.Client, version int64, most time.Duration) error {
	start := time.Now()
	for {
		r, err := c.Versions(ctx, version)
		if err != nil {
			return err
		}
		if len(r.Behind) == 0 && len(r.Unresponsive) == 0 {
			fmt.Fprintf(e.stdout, "version %d is in force at all %d daemons, %.1f s after it was accepted\n",
				version, len(r.InForce), time.Since(start).Seconds())
			return nil
		}
		if time.Since(start) > most {
			for vm, v := range r.Behind {
				fmt.Fprintf(e.stdout, "behind: %s has version %d\n", vm, v)
			}
			for _, vm := range r.Unresponsive {
				fmt.Fprintf(e.stdout, "no answer: %s\n", vm)
			}
			return &NotInForceError{version, len(r.Behind), len(r.Unresponsive)}
		}
		select {
		case <-time.After(pollPeriod):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// changeFlags holds the flags that all commands which make a change share.
type changeFlags struct {
	wait    bool
	maxWait time.Duration
	note    string
}

// register adds the flags to fs.
func (f *changeFlags) register(fs *flag.FlagSet) {
	fs.BoolVar(&f.wait, "wait", false, "wait until the change is in force at every daemon")
	fs.DurationVar(&f.maxWait, "most", 10*time.Second, "longest time to wait")
	fs.StringVar(&f.note, "note", "", "note to keep with the version")
}

// submit sends a change, prints the version as which it was accepted, and with --wait waits until it is in force.
func (f *changeFlags) submit(ctx context.Context, e *env, c *client.Client, ch config.Change) error {
	ch.Note = f.note
	a, err := e.submitChange(ctx, c, ch)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "accepted as version %d (change %s)\n", a.Version, a.ChangeID)
	if !f.wait {
		return nil
	}
	return e.waitInForce(ctx, c, a.Version, f.maxWait)
}
