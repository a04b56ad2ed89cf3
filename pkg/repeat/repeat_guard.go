package repeat

import (
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/ledger"
)

// Bounds of a Guard.
const (
	keyRetention = 30 * time.Second // how long a key is remembered after its last attempt ended
	maxKeys      = 100_000
	maxCustomers = 50_000
	retryBurst   = 20 // retries that a customer may send at once after a time without any
)

// Attempt describes one incoming request.
type Attempt struct {
	Key         string // empty if the client sent none
	Customer    string
	OnceOnly    bool
	RetryTokens int     // retry tokens of a first attempt
	RetryShare  float64 // retries allowed per first attempt
}

// Decision says what to do with an attempt.
type Decision uint8

// The decisions of Guard.Begin.
const (
	FirstAttempt   Decision = iota + 1 // a first attempt, which may be forwarded
	Retry                              // a retry, which may be forwarded; its tokens are already taken
	Join                               // wait for the attempt in progress
	OverRetryShare                     // refused: the customer is over its share of retries
	BudgetSpent                        // refused: the request's retry budget is spent
)

// Record is a Guard's state of one key, or of one request without a key.
type Record struct {
	Ledger *ledger.Ledger

	running   int
	forwarded bool
	uncertain bool // an attempt ended whose outcome is unknown
	ended     time.Time
	inFlight  *InFlight
}

// InFlight is an attempt in progress that retries may join.
type InFlight struct {
	Done   chan struct{} // closed at the end
	Result any           // set before Done is closed; nil if it can't be shared
}

// customer is the token bucket for one customer's retries.
type customer struct {
	retryTokens float64
	lastSeen    time.Time
}

// Guard tracks clients' retries at one entry node; its zero value is ready and safe for concurrent use.
type Guard struct {
	mu        sync.Mutex
	keys      map[string]*Record
	customers map[string]*customer
	lastSweep time.Time
}

// Begin decides about an attempt. After FirstAttempt and Retry the caller must call End with the record; with Join it
// gets the attempt to wait for.
func (g *Guard) Begin(now time.Time, a Attempt) (Decision, *Record, *InFlight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	c := g.customer(now, a.Customer)
	if a.Key == "" {
		c.retryTokens = min(c.retryTokens+a.RetryShare, retryBurst)
		return FirstAttempt, &Record{Ledger: ledger.New(a.RetryTokens), running: 1}, nil
	}
	e, known := g.keys[a.Key]
	if !known {
		e = &Record{Ledger: ledger.New(a.RetryTokens)}
		if len(g.keys) < maxKeys {
			g.keys[a.Key] = e
		}
		c.retryTokens = min(c.retryTokens+a.RetryShare, retryBurst)
		g.start(e)
		return FirstAttempt, e, nil
	}
	if e.inFlight != nil && !a.OnceOnly {
		return Join, e, e.inFlight
	}
	if c.retryTokens < 1 {
		return OverRetryShare, e, nil
	}
	// Once-only requests take no token: their home node never runs them again. Other requests take one if an attempt was
	// forwarded before.
	if !a.OnceOnly && e.forwarded && !e.Ledger.Spend() {
		return BudgetSpent, e, nil
	}
	c.retryTokens--
	g.start(e)
	return Retry, e, nil
}

// start counts an attempt as in progress, and lets retries join it; g.mu is held.
func (g *Guard) start(e *Record) {
	e.running++
	if e.inFlight == nil {
		e.inFlight = &InFlight{Done: make(chan struct{})}
	}
}

// TokensLeft returns the remaining retry tokens of the request, and whether it was forwarded.
func (g *Guard) TokensLeft(e *Record) (left int, forwarded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return e.Ledger.Balance(), e.forwarded
}

// MarkForwarded records that the attempt was forwarded, so that another attempt takes a retry token.
func (g *Guard) MarkForwarded(e *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.forwarded = true
}

// MarkUncertain records that the outcome of an attempt is unknown: it may run after it has ended here.
func (g *Guard) MarkUncertain(e *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.uncertain = true
}

// Uncertain reports whether the outcome of an attempt is unknown, here or at another entry that told of it.
func (g *Guard) Uncertain(e *Record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return e.uncertain
}

// RetryNotice tells another entry node about a request that its client is likely to retry there.
type RetryNotice struct {
	Key        string `json:"k"`
	TokensLeft int    `json:"l"` // retry tokens left
	Uncertain  bool   `json:"u,omitempty"`
}

// ApplyNotice records a notice from another entry node: the request was forwarded there, and at most n.TokensLeft of its retry
// tokens remain.
func (g *Guard) ApplyNotice(now time.Time, n RetryNotice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.customer(now, "")
	e, known := g.keys[n.Key]
	if !known {
		if len(g.keys) >= maxKeys {
			return
		}
		e = &Record{Ledger: ledger.New(n.TokensLeft), ended: now}
		g.keys[n.Key] = e
	}
	e.forwarded = true
	e.uncertain = e.uncertain || n.Uncertain
	e.Ledger.Cap(n.TokensLeft)
}

// End records that an attempt has ended. When the last one under the key has ended, the retries that joined it get result.
func (g *Guard) End(now time.Time, e *Record, result any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.running--
	e.ended = now
	if e.inFlight != nil && e.running == 0 {
		e.inFlight.Result = result
		close(e.inFlight.Done)
		e.inFlight = nil
	}
}

// customer returns the named customer's retry bucket, which it creates full if needed; g.mu is held.
func (g *Guard) customer(now time.Time, name string) *customer {
	if g.customers == nil {
		g.customers = map[string]*customer{}
		g.keys = map[string]*Record{}
	}
	c, ok := g.customers[name]
	if !ok {
		c = &customer{retryTokens: retryBurst}
		if len(g.customers) < maxCustomers {
			g.customers[name] = c
		}
	}
	c.lastSeen = now
	return c
}

// sweep removes expired keys and customers, at most once a second; g.mu is held.
func (g *Guard) sweep(now time.Time) {
	if now.Sub(g.lastSweep) < time.Second {
		return
	}
	g.lastSweep = now
	for k, e := range g.keys {
		if e.running == 0 && now.Sub(e.ended) > keyRetention {
			delete(g.keys, k)
		}
	}
	for name, c := range g.customers {
		if now.Sub(c.lastSeen) > 2*keyRetention {
			delete(g.customers, name)
		}
	}
}

// KeyCount returns the number of remembered keys.
func (g *Guard) KeyCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.keys)
}
