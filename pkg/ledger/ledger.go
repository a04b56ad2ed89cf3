package ledger

import "sync"

// Ledger holds the retry tokens of one inbound call; its zero value is empty and ready to use.
type Ledger struct {
	mu      sync.Mutex
	balance int
	lent    int
	spent   int
	calls   map[uint64]callState
}

// callState holds the state of the outbound calls of one signature, by which retries are recognized.
type callState struct {
	running int
	failed  bool
}

// Totals holds the tokens of a ledger by their state.
type Totals struct {
	Balance int `json:"balance"`
	Lent    int `json:"lent"`
	Spent   int `json:"spent"`
}

// New returns a ledger with a balance of n tokens, or 0 if n is negative.
func New(n int) *Ledger { return &Ledger{balance: max(n, 0)} }

// BeginCall records the start of an outbound call. A call of the same signature as one that failed or is running is a retry and takes
// a token; it reports false, and the call must not start, if none is left.
func (l *Ledger) BeginCall(signature uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.calls[signature]
	if st.failed || st.running > 0 {
		if !l.spendLocked() {
			return false
		}
		st.failed = false
	}
	if l.calls == nil {
		l.calls = map[uint64]callState{}
	}
	st.running++
	l.calls[signature] = st
	return true
}

// EndCall records the end of an outbound call; if it failed, the next call of its signature is a retry.
func (l *Ledger) EndCall(signature uint64, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.calls[signature]
	st.running--
	st.failed = st.failed || failed
	l.calls[signature] = st
}

// Spend takes one token for a retry and reports false if none is left.
func (l *Ledger) Spend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.spendLocked()
}

// spendLocked takes one token and reports false if none is left; mu must be held.
func (l *Ledger) spendLocked() bool {
	if l.balance == 0 {
		return false
	}
	l.balance--
	l.spent++
	return true
}

// Lend moves half of the balance, rounded up, to an outbound call and returns how many tokens that is.
func (l *Ledger) Lend() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := (l.balance + 1) / 2
	l.balance -= n
	l.lent += n
	return n
}

// Return settles a loan of lent tokens of which returned came back; returned is limited to the loan, in case an answer reports more.
func (l *Ledger) Return(lent, returned int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	returned = min(max(returned, 0), lent)
	l.lent -= lent
	l.balance += returned
	l.spent += lent - returned
}

// WriteOff settles a loan whose answer was lost: all its tokens count as spent.
func (l *Ledger) WriteOff(lent int) { l.Return(lent, 0) }

// Close sets the balance to 0 and returns the old one, so that tokens sent back with the answer can't be spent here too.
func (l *Ledger) Close() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.balance
	l.balance = 0
	return n
}

// Cap limits the balance to n; the tokens above it count as spent.
func (l *Ledger) Cap(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if excess := l.balance - max(n, 0); excess > 0 {
		l.balance -= excess
		l.spent += excess
	}
}

// Balance returns the number of tokens left to spend or lend.
func (l *Ledger) Balance() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.balance
}

// Totals returns the tokens of the ledger by their state.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Totals{Balance: l.balance, Lent: l.lent, Spent: l.spent}
}
