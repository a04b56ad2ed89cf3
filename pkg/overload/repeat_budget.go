package overload

import (
	"math"
	"time"
)

// RepeatBudget bounds how often this node's requests reach a server once more. Each request earns a share
// of a token at every service that it and its calls run on; a repeat pays at each of them, since the
// calls of a run that is a repeat are repeats too. What isn't spent is kept for less than a window, so that a
// server that begins to refuse can be gone around: in any window no more is spent than was earned in it and the
// one before. It isn't safe for concurrent use.
type RepeatBudget struct {
	Ratio  float64       // tokens that a request earns at its own service
	Below  float64       // tokens that each run below it earns
	Burst  float64       // tokens of one service that aren't lost with time, and those at the start
	Window time.Duration // in which tokens above Burst fade to an eighth; 0: at once

	tokens map[string]*tokens
}

// fadesInWindow is how often tokens fade to a third in a window: what is older than a window pays for next to nothing.
const fadesInWindow = 2.0

// tokens are those of one service.
type tokens struct {
	level float64
	last  time.Time
}

// Earn notes a request for a service, with its runs by service.
func (b *RepeatBudget) Earn(now time.Time, service string, runs map[string]float64) {
	for s, n := range runs {
		share := b.Below
		if s == service {
			share = b.Ratio
		}
		t := b.of(now, s)
		t.level += share * n
		if b.Window == 0 {
			t.level = min(t.level, max(b.Burst, n))
		}
	}
}

// Take pays for one repeat with the runs that it causes; it reports false, and takes nothing, if a service
// has too few tokens left.
func (b *RepeatBudget) Take(now time.Time, runs map[string]float64) bool {
	for s, n := range runs {
		if b.of(now, s).level < n {
			return false
		}
	}
	for s, n := range runs {
		b.of(now, s).level -= n
	}
	return true
}

// of returns the tokens of a service, less those that have faded by now.
func (b *RepeatBudget) of(now time.Time, service string) *tokens {
	t := b.tokens[service]
	if t == nil {
		if b.tokens == nil {
			b.tokens = make(map[string]*tokens)
		}
		t = &tokens{level: b.Burst, last: now}
		b.tokens[service] = t
	}
	b.fade(now, t)
	return t
}

// fade takes away what has faded of the tokens above Burst since they were last looked at.
func (b *RepeatBudget) fade(now time.Time, t *tokens) {
	d := now.Sub(t.last)
	if d <= 0 {
		return
	}
	t.last = now
	if above := t.level - b.Burst; above > 0 && b.Window > 0 {
		t.level = b.Burst + above*math.Exp(-fadesInWindow*d.Seconds()/b.Window.Seconds())
	}
}
