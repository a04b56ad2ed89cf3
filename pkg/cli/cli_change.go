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

// waitPeriod is the time between looks at how far a change has come.
const waitPeriod = 200 * time.Millisecond

func sortedKeys(m map[string]string) []string { return slices.Sorted(maps.Keys(m)) }

// change sends a change made for the given version, and settles a lost answer by its id.
func (e *env) change(ctx context.Context, c *client.Client, ch config.Change) (operator.Accepted, error) {
	ch.ID = uuid.NewString()
	a, err := c.Change(ctx, ch)
	var lost *client.LostError
	if !errors.As(err, &lost) {
		return a, doubtful(ch.ID, err)
	}
	// The daemon may have committed before its answer was lost, so only the table can tell. A change
	// that isn't there yet may still be on its way, so its absence settles nothing.
	settled, serr := c.Settle(ctx, ch.ID)
	if serr == nil && settled.Version > 0 {
		return settled, nil
	}
	return a, &DoubtError{ch.ID, err}
}

func doubtful(id string, err error) error {
	var p *operator.Problem
	if errors.As(err, &p) && p.Kind == operator.ProblemUnknown {
		return &DoubtError{id, err}
	}
	return err
}

// await waits until every daemon that answers has the version in force, at most for the given time.
func (e *env) await(ctx context.Context, c *client.Client, version int64, most time.Duration) error {
	begin := time.Now()
	for {
		r, err := c.Versions(ctx, version)
		if err != nil {
			return err
		}
		if len(r.Behind) == 0 && len(r.Unresponsive) == 0 {
			fmt.Fprintf(e.stdout, "version %d is in force at all %d daemons, %.1f s after it was accepted\n",
				version, len(r.InForce), time.Since(begin).Seconds())
			return nil
		}
		if time.Since(begin) > most {
			for vm, v := range r.Behind {
				fmt.Fprintf(e.stdout, "behind: %s has version %d\n", vm, v)
			}
			for _, vm := range r.Unresponsive {
				fmt.Fprintf(e.stdout, "no answer: %s\n", vm)
			}
			return &NotYetError{version, len(r.Behind), len(r.Unresponsive)}
		}
		select {
		case <-time.After(waitPeriod):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// changeFlags are the flags of every command that makes a change.
type changeFlags struct {
	wait bool
	most time.Duration
	note string
}

func (f *changeFlags) register(fs *flag.FlagSet) {
	fs.BoolVar(&f.wait, "wait", false, "wait until the change is in force at every daemon")
	fs.DurationVar(&f.most, "most", 10*time.Second, "longest time to wait")
	fs.StringVar(&f.note, "note", "", "note to keep with the version")
}

// make sends a change, reports that it was accepted, and waits for it on request.
func (f *changeFlags) make(ctx context.Context, e *env, c *client.Client, ch config.Change) error {
	ch.Note = f.note
	a, err := e.change(ctx, c, ch)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "accepted as version %d (change %s)\n", a.Version, a.ChangeID)
	if !f.wait {
		return nil
	}
	return e.await(ctx, c, a.Version, f.most)
}
