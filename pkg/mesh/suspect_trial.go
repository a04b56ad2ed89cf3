package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Times of suspects that are tried one at a time.
const (
	// trialWait is how long a suspect waits for another suspect's run to end. Most runs end well within it, and then
	// the waiting copies of a popular request are cleared.
	trialWait = 300 * time.Millisecond
	// suspectRetryDelay is the retry delay given to a suspect that has waited that long.
	suspectRetryDelay = 300 * time.Millisecond
)

// trial admits one suspect at a time to the server on this VM, for suspects that are tried alone; its zero value is free.
type trial struct {
	mu   sync.Mutex
	done chan struct{} // closed when the trial in progress ends; nil: none is in progress
}

// begin starts a trial and returns nil, or returns a channel that is closed when the trial in progress ends.
func (t *trial) begin() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done != nil {
		return t.done
	}
	t.done = make(chan struct{})
	return nil
}

// end ends the trial in progress.
func (t *trial) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.done)
	t.done = nil
}

// awaitTrialTurn waits until a request may go to the server on this VM: quarantined requests may not, and suspects that
// are tried alone go one at a time. It returns a refusal for a request that may not run now; done must be called when the
// run has ended.
func (b *backend) awaitTrialTurn(ctx context.Context, q *request) (done func(), a *answer) {
	if !q.Stages.Suspected() && !b.n.poison.AnySuspects() || b.n.off[settings.Quarantine] {
		return func() {}, nil
	}
	if a := q.readDeferredBody(); a != nil { // a suspect is recognized by its body
		return func() {}, a
	}
	wait := time.NewTimer(trialWait)
	defer wait.Stop()
	// The sender may know of a crash that isn't known here yet; without its stages two copies that came at that moment ran
	// side by side. For a request that has waited only the local stages count, which the run that it waited for has updated. The
	// sender's stages don't count for requests that were recently successful here.
	senderStages := q.Stages.WithoutSuccessful(b.recentSuccesses.Recent(b.n.clock.Now(), q.fingerprintInput()))
	for {
		decision := b.n.suspectDecision(q)
		q.Stages = decision.Stages.Max(senderStages)
		switch max(decision.Treatment, senderStages.Treatment()) {
		case poison.Quarantined:
			return func() {}, b.n.quarantineRefusal(q, decision)
		case poison.Alone:
			trialDone := b.trial.begin()
			if trialDone == nil {
				return b.trial.end, nil
			}
			if a := awaitTrial(ctx, trialDone, wait.C); a != nil {
				b.n.logSuspectRefused(q, "trial in progress", decision)
				return func() {}, a
			}
			senderStages = poison.Stages{}
		default:
			return func() {}, nil
		}
	}
}

// awaitTrial waits for the end of another suspect's run. It returns a refusal if the timeout or the context ends first,
// else nil.
func awaitTrial(ctx context.Context, done <-chan struct{}, timeout <-chan time.Time) *answer {
	select {
	case <-done:
		return nil
	case <-timeout:
		a := notRunAnswer(wire.ReasonSuspect)
		a.retryAfter = suspectRetryDelay
		return a
	case <-ctx.Done():
		return notRunAnswer(wire.ReasonDeadline)
	}
}
