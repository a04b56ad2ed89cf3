package overload

import "time"

// RetryBudget limits this node's retries. Each request deposits a fraction of a token at every service that it and its
// calls run on; a retry withdraws tokens at each of them, since it repeats the calls below it too. The balance is what was
// deposited in the last window less what was withdrawn in it: retries can avoid a server as soon as it begins to refuse,
// and no window has more retries than the ratio allows. It isn't safe for concurrent use.
type RetryBudget struct {
	Ratio           float64       // tokens that a request deposits at its own service
	DownstreamRatio float64       // tokens that each run below it deposits
	Burst           float64       // tokens of one service that each window allows regardless of deposits
	Window          time.Duration // time for which tokens count; 0 means DefaultRetryWindow

	serviceTokens map[string]*serviceTokens
	start         time.Time // of the first window, by the monotonic clock
}

// Windows of the budget.
const (
	// DefaultRetryWindow applies where the operator sets no window.
	DefaultRetryWindow = 10 * time.Second
	// windowSteps is how many steps the window is divided into. Withdrawals count for one step longer than the window, and
	// deposits for at most the window.
	windowSteps = 20
)

// serviceTokens holds one service's tokens by step of the window; the current step is the last.
type serviceTokens struct {
	step                 int64 // number of the current step since the budget was first used
	deposited, withdrawn [windowSteps + 1]float64
}

// Deposit credits a request for a service, given its runs by service.
func (b *RetryBudget) Deposit(now time.Time, service string, runs map[string]float64) {
	for s, n := range runs {
		share := b.DownstreamRatio
		if s == service {
			share = b.Ratio
		}
		t := b.windowOf(now, s)
		t.deposited[t.step%int64(len(t.deposited))] += share * n
	}
}

// rootShare is the share of the tokens at a service that a root request's retry may use where requests make several calls.
// A lost call loses all the work above it, a lost root none, so calls find tokens left.
const rootShare = 0.5

// minReservedCalls is the number of calls a request from which tokens are left for calls; learned calls of a service where
// requests make one are never exactly one.
const minReservedCalls = 1.5

// TryWithdraw pays for one retry, given the runs that it causes by service. It reports false, and withdraws nothing, if a
// service has too few tokens.
func (b *RetryBudget) TryWithdraw(now time.Time, runs map[string]float64) bool {
	return b.tryWithdraw(now, runs, func(string) float64 { return 1 })
}

// TryWithdrawForRoot does the same for a root request, which leaves a part of the tokens at the services to which one request
// makes several calls.
func (b *RetryBudget) TryWithdrawForRoot(now time.Time, runs, callsPerRequest map[string]float64) bool {
	return b.tryWithdraw(now, runs, func(service string) float64 {
		if callsPerRequest[service] >= minReservedCalls {
			return rootShare
		}
		return 1
	})
}

// tryWithdraw withdraws the tokens if at each service they are within the usable share of what is there.
func (b *RetryBudget) tryWithdraw(now time.Time, runs map[string]float64, usable func(service string) float64) bool {
	for s, n := range runs {
		if usable(s)*(b.windowOf(now, s).balance()+b.Burst) < n {
			return false
		}
	}
	for s, n := range runs {
		t := b.windowOf(now, s)
		t.withdrawn[t.step%int64(len(t.withdrawn))] += n
	}
	return true
}

// windowOf returns the tokens of a service, with its window advanced to now.
func (b *RetryBudget) windowOf(now time.Time, service string) *serviceTokens {
	window := b.Window
	if window == 0 {
		window = DefaultRetryWindow
	}
	if b.start.IsZero() {
		b.start = now
	}
	// Steps go by the monotonic clock: a jump of the wall clock would end the window of past withdrawals too early.
	step := int64(max(now.Sub(b.start), 0) / (window / windowSteps))
	t := b.serviceTokens[service]
	if t == nil {
		if b.serviceTokens == nil {
			b.serviceTokens = make(map[string]*serviceTokens)
		}
		t = &serviceTokens{step: step}
		b.serviceTokens[service] = t
	}
	t.advanceTo(step)
	return t
}

// advanceTo clears the steps that have left the window.
func (t *serviceTokens) advanceTo(step int64) {
	size := int64(len(t.deposited))
	for p := max(t.step, step-size) + 1; p <= step; p++ {
		t.deposited[p%size], t.withdrawn[p%size] = 0, 0
	}
	t.step = max(t.step, step)
}

// balance returns the deposits of the window less its withdrawals.
func (t *serviceTokens) balance() float64 {
	balance := 0.0
	oldest := (t.step + 1) % int64(len(t.deposited))
	for i := range t.deposited {
		if int64(i) != oldest {
			balance += t.deposited[i]
		}
		balance -= t.withdrawn[i]
	}
	return balance
}
