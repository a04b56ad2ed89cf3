package repeat

import (
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/ledger"
)

// Bounds of a Guard.
const (
	keepKey      = 30 * time.Second // after the last attempt ended
	maxKeys      = 100_000
	maxCustomers = 50_000
	burst        = 20 // repeats that a customer may send at once after a quiet time
)

// Attempt describes one request as it comes in.
type Attempt struct {
	Key         string // empty if the caller sent none
	Customer    string
	OnceOnly    bool
	RetryTokens int     // tokens of a fresh request
	RetryShare  float64 // repeats per fresh request
}

// Decision says how an attempt goes on.
type Decision uint8

// The verdicts.
const (
	FirstAttempt   Decision = iota + 1 // first attempt that is sent on
	Retry                              // a repeat that may be sent on, and is paid for
	Join                               // wait for the one that runs
	OverRetryShare                     // the customer repeats too much
	BudgetSpent                        // the request's retry budget is spent
)

// Record is what a Guard holds of one key.
type Record struct {
	Ledger *ledger.Ledger

	running int
	sent    bool
	ended   time.Time
	flight  *InFlight
}

// InFlight is a running attempt that repeats may join.
type InFlight struct {
	Done   chan struct{} // closed at the end
	Result any           // set before Done is closed; nil if it can't be shared
}

type customer struct {
	level float64
	seen  time.Time
}

// Guard is one entry daemon's memory of callers' repeats; its zero value is ready and safe for concurrent use.
type Guard struct {
	mu        sync.Mutex
	keys      map[string]*Record
	customers map[string]*customer
	swept     time.Time
}

// Begin decides about an attempt. Fresh and Repeat must be followed by End; Join gives the flight to wait for.
func (g *Guard) Begin(now time.Time, a Attempt) (Decision, *Record, *InFlight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	c := g.customer(now, a.Customer)
	if a.Key == "" {
		c.level = min(c.level+a.RetryShare, burst)
		return FirstAttempt, &Record{Ledger: ledger.New(a.RetryTokens), running: 1}, nil
	}
	e, met := g.keys[a.Key]
	if !met {
		e = &Record{Ledger: ledger.New(a.RetryTokens)}
		if len(g.keys) < maxKeys {
			g.keys[a.Key] = e
		}
		c.level = min(c.level+a.RetryShare, burst)
		g.start(e)
		return FirstAttempt, e, nil
	}
	if e.flight != nil && !a.OnceOnly {
		return Join, e, e.flight
	}
	if c.level < 1 {
		return OverRetryShare, e, nil
	}
	// Once-only work is met by its home, which never runs it again; other work is paid for
	// when an attempt was sent on before.
	if !a.OnceOnly && e.sent && !e.Ledger.Spend() {
		return BudgetSpent, e, nil
	}
	c.level--
	g.start(e)
	return Retry, e, nil
}

func (g *Guard) start(e *Record) {
	e.running++
	if e.flight == nil {
		e.flight = &InFlight{Done: make(chan struct{})}
	}
}

// TokensLeft tells whether the request was sent on, and how many tokens it has left.
func (g *Guard) TokensLeft(e *Record) (left int, sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return e.Ledger.Balance(), e.sent
}

// MarkForwarded notes that the attempt has left the entry, so that a repeat of it counts as a retry.
func (g *Guard) MarkForwarded(e *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.sent = true
}

// RetryNotice tells another entry of a request whose caller is likely to repeat it.
type RetryNotice struct {
	Key        string `json:"k"`
	TokensLeft int    `json:"l"` // retry tokens left
}

// ApplyNotice takes a note of another entry: the request was sent on there, and no more tokens are left than it says.
func (g *Guard) ApplyNotice(now time.Time, n RetryNotice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.customer(now, "")
	e, met := g.keys[n.Key]
	if !met {
		if len(g.keys) >= maxKeys {
			return
		}
		e = &Record{Ledger: ledger.New(n.TokensLeft), ended: now}
		g.keys[n.Key] = e
	}
	e.sent = true
	e.Ledger.Cap(n.TokensLeft)
}

// End notes that an attempt has ended, with a result that those who joined may share.
func (g *Guard) End(now time.Time, e *Record, result any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.running--
	e.ended = now
	if e.flight != nil && e.running == 0 {
		e.flight.Result = result
		close(e.flight.Done)
		e.flight = nil
	}
}

func (g *Guard) customer(now time.Time, name string) *customer {
	if g.customers == nil {
		g.customers = map[string]*customer{}
		g.keys = map[string]*Record{}
	}
	c, ok := g.customers[name]
	if !ok {
		c = &customer{level: burst}
		if len(g.customers) < maxCustomers {
			g.customers[name] = c
		}
	}
	c.seen = now
	return c
}

// sweep forgets, once a second, what is past its time.
func (g *Guard) sweep(now time.Time) {
	if now.Sub(g.swept) < time.Second {
		return
	}
	g.swept = now
	for k, e := range g.keys {
		if e.running == 0 && now.Sub(e.ended) > keepKey {
			delete(g.keys, k)
		}
	}
	for name, c := range g.customers {
		if now.Sub(c.seen) > 2*keepKey {
			delete(g.customers, name)
		}
	}
}

// KeyCount returns how many keys are held.
func (g *Guard) KeyCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.keys)
}
