package overload

import "time"

// RetryBudget bounds how often this node's requests reach a server once more. Each request earns a share
// of a token at every service that it and its calls run on; a repeat pays at each of them, since the
// calls of a run that is a repeat are repeats too. What was earned in the last window can be spent, less what was spent
// in it: so a server that begins to refuse can be gone around at once, and in no window more is spent than the share
// allows. It isn't safe for concurrent use.
type RetryBudget struct {
	Ratio           float64       // tokens that a request earns at its own service
	DownstreamRatio float64       // tokens that each run below it earns
	Burst           float64       // tokens of one service that can be spent in each window whatever was earned
	Window          time.Duration // for which tokens are kept; 0: DefaultRepeatWindow

	tokens map[string]*tokens
	begun  time.Time // of the first window
}

// The constants of the windows.
const (
	// DefaultRetryWindow is the window where the operator sets none.
	DefaultRetryWindow = 10 * time.Second
	// windowParts is how many steps a window moves in: what was spent counts for one step more than the window, what
	// was earned for the window at the most.
	windowParts = 20
)

// tokens are those of one service, by parts of the window; the part that now lies in is the last.
type tokens struct {
	part          int64 // number of the last part since the budget was first used
	earned, spent [windowParts + 1]float64
}

// Deposit notes a request for a service, with its runs by service.
func (b *RetryBudget) Deposit(now time.Time, service string, runs map[string]float64) {
	for s, n := range runs {
		share := b.DownstreamRatio
		if s == service {
			share = b.Ratio
		}
		t := b.of(now, s)
		t.earned[t.part%int64(len(t.earned))] += share * n
	}
}

// TryWithdraw pays for one repeat with the runs that it causes; it reports false, and takes nothing, if a service
// has too few tokens left.
func (b *RetryBudget) TryWithdraw(now time.Time, runs map[string]float64) bool {
	for s, n := range runs {
		if b.of(now, s).left()+b.Burst < n {
			return false
		}
	}
	for s, n := range runs {
		t := b.of(now, s)
		t.spent[t.part%int64(len(t.spent))] += n
	}
	return true
}

// of returns the tokens of a service, with the window moved to now.
func (b *RetryBudget) of(now time.Time, service string) *tokens {
	window := b.Window
	if window == 0 {
		window = DefaultRetryWindow
	}
	if b.begun.IsZero() {
		b.begun = now
	}
	// By the steady clock: the time of day may jump, and what was spent would count for too short a time.
	part := int64(max(now.Sub(b.begun), 0) / (window / windowParts))
	t := b.tokens[service]
	if t == nil {
		if b.tokens == nil {
			b.tokens = make(map[string]*tokens)
		}
		t = &tokens{part: part}
		b.tokens[service] = t
	}
	t.moveTo(part)
	return t
}

// moveTo empties the parts that begin anew.
func (t *tokens) moveTo(part int64) {
	size := int64(len(t.earned))
	for p := max(t.part, part-size) + 1; p <= part; p++ {
		t.earned[p%size], t.spent[p%size] = 0, 0
	}
	t.part = max(t.part, part)
}

// left returns what was earned in the window and not spent in it.
func (t *tokens) left() float64 {
	left := 0.0
	oldest := (t.part + 1) % int64(len(t.earned))
	for i := range t.earned {
		if int64(i) != oldest {
			left += t.earned[i]
		}
		left -= t.spent[i]
	}
	return left
}
