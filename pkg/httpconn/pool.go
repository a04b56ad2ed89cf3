package httpconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/headerpack"
)

// bufferBytes is the size of a connection's read and write buffers; most headers and small bodies fit.
const bufferBytes = 4 << 10

// DefaultIdleTimeout is how long a connection may be idle before it isn't reused. Servers close idle connections
// after some seconds, and a request that is sent at the same moment is lost.
const DefaultIdleTimeout = 4 * time.Second

// Pool keeps connections to one address. Only Dial and Clock must be set. It is safe for concurrent use.
type Pool struct {
	Dial  func(ctx context.Context) (net.Conn, error)
	Clock clock.Clock
	// IdleTimeout is how long a connection may be idle; 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// NeverIndexed holds the headers of packed requests whose values hardly ever recur; see headerpack.Packer.
	NeverIndexed map[string]bool
	// MinUnansweredSends is how many requests in a row must be without an answer before the idle connections count as
	// unresponsive; 0 means 1.
	MinUnansweredSends int

	mu         sync.Mutex
	idle       []*conn // the most recently used is last
	open       int
	closed     bool
	unanswered unanswered
}

// conn is a connection that carries one request at a time.
type conn struct {
	pool *Pool
	raw  net.Conn
	in   headerLimiter
	br   *bufio.Reader // reads from in
	bw   *bufio.Writer

	check *idleCheck

	packer   headerpack.Packer
	unpacker headerpack.Unpacker

	idleSince         time.Time     // when it was put back into the pool
	serverIdleTimeout time.Duration // how long the server keeps an idle connection, by its Keep-Alive header; 0 if unknown
}

// acquire returns a connection that has received an answer since the given time, or a new one; the error is an *Error of kind
// NotConnected. The Aborter, if there is one, ends dialing.
func (p *Pool) acquire(ctx context.Context, since time.Time, a *Aborter) (*conn, error) {
	if c := p.takeIdle(since); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.onAbort(cancel)
	raw, err := p.Dial(ctx)
	if err != nil {
		p.decrementOpen()
		return nil, &Error{Kind: NotConnected, Cause: err}
	}
	rw := DetectReset(raw)
	c := &conn{
		pool: p, raw: raw, check: newIdleCheck(raw), in: headerLimiter{r: rw},
		bw: bufio.NewWriterSize(rw, bufferBytes), packer: headerpack.Packer{NeverIndexed: p.NeverIndexed},
	}
	c.br = bufio.NewReaderSize(&c.in, bufferBytes)
	return c, nil
}

// takeIdle returns a reusable connection that became idle at or after the given time. If there is none, it counts a new
// connection as open and returns nil.
func (p *Pool) takeIdle(since time.Time) *conn {
	now := p.Clock.Now()
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 || p.idle[n-1].idleSince.Before(since) {
			p.open++
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Sub(c.idleSince) < c.maxIdleTime() && isReusable(c) {
			return c
		}
		c.Close()
	}
}

// maxIdleTime returns how long the connection may be idle: at most half of the server's Keep-Alive timeout, to leave time
// for the transmission.
func (c *conn) maxIdleTime() time.Duration {
	limit := c.pool.IdleTimeout
	if limit == 0 {
		limit = DefaultIdleTimeout
	}
	if c.serverIdleTimeout > 0 {
		limit = min(limit, c.serverIdleTimeout/2)
	}
	return limit
}

// putIdle makes a connection available for reuse, or closes it if the pool is closed.
func (p *Pool) putIdle(c *conn) {
	c.idleSince = p.Clock.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// decrementOpen reduces the number of open connections by one.
func (p *Pool) decrementOpen() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// OpenCount returns the number of connections, in use and idle.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// CloseExpired closes the connections that have been idle too long.
func (p *Pool) CloseExpired() {
	now := p.Clock.Now()
	p.closeIdleIf(func(c *conn) bool { return now.Sub(c.idleSince) >= c.maxIdleTime() })
}

// CloseIdleBefore closes the connections that have been idle since before the given time, as they may be unresponsive. With the
// zero time it does nothing.
func (p *Pool) CloseIdleBefore(since time.Time) {
	if since.IsZero() {
		return
	}
	p.closeIdleIf(func(c *conn) bool { return c.idleSince.Before(since) })
}

// recordSend records a request with the given expected response time and closes the idle connections that may be unresponsive.
// It returns the time since which the request's connection must have received an answer; zero means no restriction.
func (p *Pool) recordSend(expected time.Duration) (since time.Time) {
	if expected == 0 {
		return time.Time{}
	}
	p.mu.Lock()
	since = p.unanswered.recordSend(p.Clock.Now(), expected, max(p.MinUnansweredSends, 1))
	p.mu.Unlock()
	p.CloseIdleBefore(since)
	return since
}

// recordAnswer records that an answer arrived.
func (p *Pool) recordAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered = unanswered{}
}

// CloseIdle closes all idle connections; callers use it when the other side may not exist any more.
func (p *Pool) CloseIdle() {
	p.closeIdleIf(func(*conn) bool { return true })
}

// closeIdleIf closes the idle connections for which shouldClose returns true.
func (p *Pool) closeIdleIf(shouldClose func(c *conn) bool) {
	p.mu.Lock()
	remaining := p.idle[:0]
	var closing []*conn
	for _, c := range p.idle {
		if shouldClose(c) {
			closing = append(closing, c)
		} else {
			remaining = append(remaining, c)
		}
	}
	clear(p.idle[len(remaining):])
	p.idle = remaining
	p.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// Close closes the idle connections; those in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// Close closes the connection, which also tells the other side that an exchange in progress was abandoned.
func (c *conn) Close() {
	_ = c.raw.Close() // an error doesn't matter: the connection isn't used again
	c.pool.decrementOpen()
}
