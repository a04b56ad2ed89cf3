package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// The times of suspects that are tried one at a time.
const (
	// trialWait is how long one waits for another one's run to end. Most runs end well within it, and the copies of a popular request that
	// wait are free then.
	trialWait = 300 * time.Millisecond
	// suspectPause is when one that has waited so long is told to come back.
	suspectPause = 300 * time.Millisecond
)

// trial is held by the suspect that is tried alone at the server on this VM; its zero value is free.
type trial struct {
	mu    sync.Mutex
	ended chan struct{} // closed when the one in progress ends; nil: there is none
}

// begin takes the trial; it returns nil, or a channel that is closed when the one in progress ends.
func (t *trial) begin() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended != nil {
		return t.ended
	}
	t.ended = make(chan struct{})
	return nil
}

// end gives it back.
func (t *trial) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.ended)
	t.ended = nil
}

// tryAtServer lets a request pass to the server on this VM: not one that is held back, and of suspects that are tried alone one at a time. It
// returns the answer to one that may not pass; done must be called when the run has ended.
func (b *backend) tryAtServer(ctx context.Context, q *request) (done func(), a *answer) {
	if !q.Stages.Suspected() && !b.n.poison.AnySuspects() || b.n.off[settings.HeldBack] {
		return func() {}, nil
	}
	wait := time.NewTimer(trialWait)
	defer wait.Stop()
	// The sender may have heard of an end that is news here: two copies that came just then ran side by side. Whoever has waited goes by what is known here, which
	// the run that it waited for has settled. Of what has ended well here of late the sender's word counts for nothing.
	told := q.Stages.WithoutSuccessful(b.good.Recent(b.n.clock.Now(), q.asked()))
	for {
		j := b.n.judge(q)
		q.Stages = j.Stages.Max(told)
		switch max(j.Treatment, told.Treatment()) {
		case poison.Quarantined:
			return func() {}, b.n.heldBack(q, j)
		case poison.Alone:
			ended := b.trial.begin()
			if ended == nil {
				return b.trial.end, nil
			}
			if a := awaitTrial(ctx, ended, wait.C); a != nil {
				return func() {}, a
			}
			told = poison.Stages{}
		default:
			return func() {}, nil
		}
	}
}

// awaitTrial waits for the end of another suspect's run; it returns the answer to one whose time to wait is up.
func awaitTrial(ctx context.Context, ended <-chan struct{}, over <-chan time.Time) *answer {
	select {
	case <-ended:
		return nil
	case <-over:
		a := refused(wire.ReasonSuspect)
		a.comeBack = suspectPause
		return a
	case <-ctx.Done():
		return refused(wire.ReasonDeadline)
	}
}
