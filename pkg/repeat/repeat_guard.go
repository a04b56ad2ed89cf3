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
	Key      string // empty if the caller sent none
	Customer string
	OnceOnly bool
	Retries  int     // tokens of a fresh request
	Share    float64 // repeats per fresh request
}

// Verdict says how an attempt goes on.
type Verdict uint8

// The verdicts.
const (
	Fresh     Verdict = iota + 1 // first attempt that is sent on
	Repeat                       // a repeat that may be sent on, and is paid for
	Join                         // wait for the one that runs
	OverShare                    // the customer repeats too much
	Spent                        // the request's retry budget is spent
)

// Entry is what a Guard holds of one key.
type Entry struct {
	Ledger *ledger.Ledger

	running int
	sent    bool
	ended   time.Time
	flight  *Flight
}

// Flight is a running attempt that repeats may join.
type Flight struct {
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
	keys      map[string]*Entry
	customers map[string]*customer
	swept     time.Time
}

// Begin decides about an attempt. Fresh and Repeat must be followed by End; Join gives the flight to wait for.
func (g *Guard) Begin(now time.Time, a Attempt) (Verdict, *Entry, *Flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	c := g.customer(now, a.Customer)
	if a.Key == "" {
		c.level = min(c.level+a.Share, burst)
		return Fresh, &Entry{Ledger: ledger.New(a.Retries), running: 1}, nil
	}
	e, met := g.keys[a.Key]
	if !met {
		e = &Entry{Ledger: ledger.New(a.Retries)}
		if len(g.keys) < maxKeys {
			g.keys[a.Key] = e
		}
		c.level = min(c.level+a.Share, burst)
		g.start(e)
		return Fresh, e, nil
	}
	if e.flight != nil && !a.OnceOnly {
		return Join, e, e.flight
	}
	if c.level < 1 {
		return OverShare, e, nil
	}
	// Once-only work is met by its home, which never runs it again; other work is paid for
	// when an attempt was sent on before.
	if !a.OnceOnly && e.sent && !e.Ledger.Spend() {
		return Spent, e, nil
	}
	c.level--
	g.start(e)
	return Repeat, e, nil
}

func (g *Guard) start(e *Entry) {
	e.running++
	if e.flight == nil {
		e.flight = &Flight{Done: make(chan struct{})}
	}
}

// Left tells whether the request was sent on, and how many tokens it has left.
func (g *Guard) Left(e *Entry) (left int, sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return e.Ledger.Balance(), e.sent
}

// Sent notes that the attempt has left the entry, so that a repeat of it counts as a retry.
func (g *Guard) Sent(e *Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.sent = true
}

// Note tells another entry of a request whose caller is likely to repeat it.
type Note struct {
	Key  string `json:"k"`
	Left int    `json:"l"` // retry tokens left
}

// Learn takes a note of another entry: the request was sent on there, and no more tokens are left than it says.
func (g *Guard) Learn(now time.Time, n Note) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.customer(now, "")
	e, met := g.keys[n.Key]
	if !met {
		if len(g.keys) >= maxKeys {
			return
		}
		e = &Entry{Ledger: ledger.New(n.Left), ended: now}
		g.keys[n.Key] = e
	}
	e.sent = true
	e.Ledger.Cap(n.Left)
}

// End notes that an attempt has ended, with a result that those who joined may share.
func (g *Guard) End(now time.Time, e *Entry, result any) {
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
		g.keys = map[string]*Entry{}
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

// Len returns how many keys are held.
func (g *Guard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.keys)
}
