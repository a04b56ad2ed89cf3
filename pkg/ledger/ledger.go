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

// callState follows one outbound call by its signature, so that repeats are counted.
type callState struct {
	running int
	failed  bool
}

// Totals is a reading of a ledger, in tokens.
type Totals struct {
	Balance int `json:"balance"`
	Lent    int `json:"lent"`
	Spent   int `json:"spent"`
}

// New returns a ledger that holds n tokens.
func New(n int) *Ledger { return &Ledger{balance: max(n, 0)} }

// BeginCall notes an outbound call with the given signature; it reports false when the call
// repeats one that failed or still runs and no token is left to pay for it.
func (l *Ledger) BeginCall(signature uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.calls[signature]
	if st.failed || st.running > 0 {
		if !l.takeOne() {
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

// EndCall notes that the outbound call has ended, and whether a repeat of it would be a retry.
func (l *Ledger) EndCall(signature uint64, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.calls[signature]
	st.running--
	st.failed = st.failed || failed
	l.calls[signature] = st
}

// Spend takes one token for a retry; it reports false when none is left.
func (l *Ledger) Spend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.takeOne()
}

func (l *Ledger) takeOne() bool {
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

// Return settles a loan of lent tokens of which back came back; a false answer of more is cut to the loan.
func (l *Ledger) Return(lent, back int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	back = min(max(back, 0), lent)
	l.lent -= lent
	l.balance += back
	l.spent += lent - back
}

// WriteOff settles a loan whose answer never came: every token counts as spent.
func (l *Ledger) WriteOff(lent int) { l.Return(lent, 0) }

// Close empties the ledger and returns its balance, so that what goes back with the answer can't be spent here too.
func (l *Ledger) Close() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.balance
	l.balance = 0
	return n
}

// Cap writes off what the balance holds above n.
func (l *Ledger) Cap(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if over := l.balance - max(n, 0); over > 0 {
		l.balance -= over
		l.spent += over
	}
}

// Balance returns the tokens left to spend or lend.
func (l *Ledger) Balance() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.balance
}

// Totals returns a reading of the ledger.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Totals{Balance: l.balance, Lent: l.lent, Spent: l.spent}
}
