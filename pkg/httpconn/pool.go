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

// bufferBytes is the size of a connection's read and write buffers: most headers and small bodies fit.
const bufferBytes = 4 << 10

// DefaultIdleTimeout is how long a connection rests before it isn't used again. Servers close idle connections
// after some seconds, and a request that crosses the close is lost.
const DefaultIdleTimeout = 4 * time.Second

// Pool keeps connections to one address. The zero value of every field but Dial and Clock works.
type Pool struct {
	Dial  func(ctx context.Context) (net.Conn, error)
	Clock clock.Clock
	// IdleTimeout is how long a connection may rest; 0 means DefaultIdle.
	IdleTimeout time.Duration
	// NeverIndexed lists the headers of packed requests whose values hardly come twice.
	NeverIndexed map[string]bool
	// MinUnansweredSends is how many requests in a row have to be without an answer for their patience to count; 0 means 1.
	MinUnansweredSends int

	mu      sync.Mutex
	idle    []*conn // the last one was used last
	open    int
	closed  bool
	silence silence
}

// conn is a connection that carries one request at a time.
type conn struct {
	pool *Pool
	raw  net.Conn
	br   *bufio.Reader
	bw   *bufio.Writer

	packer   headerpack.Packer
	unpacker headerpack.Unpacker

	rested time.Time     // when it was put back
	keep   time.Duration // how long the server said that it keeps an idle connection; 0: not said
}

// get returns a connection that was heard since a time, or a new one; the error is an *Error of kind NotConnected.
func (p *Pool) get(ctx context.Context, since time.Time) (*conn, error) {
	if c := p.takeIdle(since); c != nil {
		return c, nil
	}
	raw, err := p.Dial(ctx)
	if err != nil {
		p.release()
		return nil, &Error{Kind: NotConnected, Cause: err}
	}
	return &conn{
		pool: p, raw: raw,
		br: bufio.NewReaderSize(raw, bufferBytes),
		bw: bufio.NewWriterSize(raw, bufferBytes), packer: headerpack.Packer{NeverIndexed: p.NeverIndexed},
	}, nil
}

// takeIdle returns a usable idle connection that was put back after a time, or nil when one is to be made, which it counts.
func (p *Pool) takeIdle(since time.Time) *conn {
	now := p.Clock.Now()
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 || p.idle[n-1].rested.Before(since) {
			p.open++
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Sub(c.rested) < c.restLimit() && quiet(c) {
			return c
		}
		c.Close()
	}
}

// restLimit is how long the connection may rest: half of what the server said, to leave time for the way.
func (c *conn) restLimit() time.Duration {
	limit := c.pool.IdleTimeout
	if limit == 0 {
		limit = DefaultIdleTimeout
	}
	if c.keep > 0 {
		limit = min(limit, c.keep/2)
	}
	return limit
}

func (p *Pool) put(c *conn) {
	c.rested = p.Clock.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// OpenCount returns how many connections there are, in use and idle.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// CloseExpired closes connections that have rested too long.
func (p *Pool) CloseExpired() {
	now := p.Clock.Now()
	p.drop(func(c *conn) bool { return now.Sub(c.rested) >= c.restLimit() })
}

// CloseIdleBefore closes the idle connections on which nothing came since a time: they may have gone silent. With the zero time it does nothing.
func (p *Pool) CloseIdleBefore(since time.Time) {
	if since.IsZero() {
		return
	}
	p.drop(func(c *conn) bool { return c.rested.Before(since) })
}

// sending notes a request, and closes the connections that may have gone silent; it returns since when that of the request has to have been heard.
func (p *Pool) sending(patience time.Duration) (since time.Time) {
	if patience == 0 {
		return time.Time{}
	}
	p.mu.Lock()
	since = p.silence.sending(p.Clock.Now(), patience, max(p.MinUnansweredSends, 1))
	p.mu.Unlock()
	p.CloseIdleBefore(since)
	return since
}

// heard notes an answer.
func (p *Pool) heard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence = silence{}
}

// CloseIdle closes the idle connections, whose other sides may be gone.
func (p *Pool) CloseIdle() {
	p.drop(func(*conn) bool { return true })
}

// drop closes some of the idle connections.
func (p *Pool) drop(which func(c *conn) bool) {
	p.mu.Lock()
	kept := p.idle[:0]
	var dropped []*conn
	for _, c := range p.idle {
		if which(c) {
			dropped = append(dropped, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range dropped {
		c.Close()
	}
}

// Close closes the idle connections; those in use are closed when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// Close closes the connection for good; the other side learns by it that an exchange was given up.
func (c *conn) Close() {
	_ = c.raw.Close() // it is given up either way
	c.pool.release()
}
