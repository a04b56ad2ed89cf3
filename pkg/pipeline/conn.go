package pipeline

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// conn is a client's connection, of which net/http reads one request at a time.
type conn struct {
	net.Conn
	s *Server

	mu      sync.Mutex
	changed sync.Cond // on mu
	// opaque reports that bytes are passed on as they arrive. It is set when the end of a request can't be known here, and for good.
	opaque    bool
	header    headerEnd
	passed    bool      // net/http has read a request's header and not asked for the next request
	begun     bool      // the handler of that request was called
	ended     bool      // that handler has returned
	first     firstLine // of that request, if begun
	bodyLeft  int64     // of that request's body, in bytes that net/http hasn't read
	held      []byte    // bytes behind that request
	waits     bool      // the request at the start of held waits until all before it are answered
	judged    bool      // waits was set for the requests behind first
	queue     []*answer // answers to requests behind that request, in order
	err       error     // no further request is read
	deadline  time.Time // for reads
	idle      bool      // the state StateIdle was hidden
	pipelines bool      // a request of this connection has run ahead
	closing   bool      // Close was called
}

// firstLine is what decides whether other requests may overtake a request.
type firstLine struct {
	method, host, uri string
	overtakable       bool
}

// newConn returns a connection around nc.
func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{Conn: nc, s: s}
	c.changed.L = &c.mu
	return c
}

// Read returns the bytes of at most one request to net/http. A background read returns only when the connection or its deadline ends.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.passed && !c.begun && len(p) > 1 {
		c.opaque = true // net/http answers some requests (OPTIONS *) without the handler
	}
	opaque, passed, body := c.opaque, c.passed, c.bodyLeft
	c.mu.Unlock()
	switch {
	case opaque:
		return c.readBytes(p)
	case passed && body > 0:
		return c.readBody(p[:min(int64(len(p)), body)])
	case passed && len(p) == 1:
		return c.readAhead(p)
	case passed:
		if err := c.writeAnswers(); err != nil {
			return 0, err
		}
		c.nextRequest()
	}
	return c.readHeader(p)
}

// readBytes reads bytes that were held, or else new ones.
func (c *conn) readBytes(p []byte) (int, error) {
	c.mu.Lock()
	n := copy(p, c.held)
	c.dropHeld(n)
	c.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	return c.Conn.Read(p)
}

// dropHeld removes the first n held bytes; c.mu is held.
func (c *conn) dropHeld(n int) {
	if c.held = c.held[n:]; len(c.held) == 0 {
		c.held = nil
	}
}

// readBody reads bytes of the body of the request in progress.
func (c *conn) readBody(p []byte) (int, error) {
	n, err := c.readBytes(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyLeft -= int64(n)
	return n, err
}

// readHeader reads bytes of a request's header and holds what follows it.
func (c *conn) readHeader(p []byte) (int, error) {
	n, err := c.readBytes(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	end, ended := c.header.next(p[:n])
	if ended {
		c.passed = true
		if end < n {
			c.held = append(append(make([]byte, 0, n-end+len(c.held)), p[end:n]...), c.held...)
		}
	}
	return end, err
}

// nextRequest prepares for the header of a further request.
func (c *conn) nextRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetRequest()
}

// resetRequest forgets the request in progress; c.mu is held.
func (c *conn) resetRequest() {
	c.header = headerEnd{}
	c.passed, c.begun, c.ended, c.waits, c.judged = false, false, false, false, false
	c.first = firstLine{}
}

// beginRequest records that net/http's request r is being served.
func (c *conn) beginRequest(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
	c.first = firstLine{r.Method, r.Host, r.RequestURI, r.ProtoAtLeast(1, 1) && r.ContentLength == 0 && !r.Close}
	if c.bodyLeft = r.ContentLength; r.ContentLength < 0 {
		c.opaque, c.bodyLeft = true, 0 // chunks aren't parsed here
	}
	c.changed.Broadcast()
}

// endRequest records that the handler of net/http's request has returned. Its answer is then written at once, so a request that arrives
// from now on needn't run ahead: a client that waits for each answer may send its next request before net/http ends its background read.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// readAhead is net/http's background read. As long as nothing arrives it costs one read, as without this package.
func (c *conn) readAhead(p []byte) (int, error) {
	c.mu.Lock()
	none := len(c.held) == 0
	c.mu.Unlock()
	if none {
		if n, err := c.Conn.Read(p); n == 0 {
			return 0, err
		}
		if c.startsNext(p) {
			return 1, nil
		}
	}
	c.judgeFirst()
	return 0, c.fill()
}

// startsNext takes the first byte behind the request in progress, and reports whether net/http gets it at once as the next request's.
func (c *conn) startsNext(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended && len(c.queue) == 0 {
		c.resetRequest()
		c.header.next(p)
		return true
	}
	c.held = append(c.held, p[0])
	return false
}

// judgeFirst waits until the handler of the request in progress is called, and decides whether others may overtake that request.
func (c *conn) judgeFirst() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.begun && !c.closing && !expired(c.deadline) {
		c.changed.Wait()
	}
	if c.begun && !c.judged {
		c.judged = true
		f := c.first
		c.waits = !f.overtakable || !isSafe(f.method) || !c.s.mayRunAhead(f.host, f.uri)
	}
}

// SetReadDeadline sets the deadline of reads, also of one that waits for something else than bytes.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the sending side, which net/http does before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection and cancels the requests that run ahead.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closing = true
	c.cancelAll(net.ErrClosed)
	c.mu.Unlock()
	return c.Conn.Close()
}

// cancelAll ends all requests behind the one in progress, for err; c.mu is held.
func (c *conn) cancelAll(err error) {
	if c.err == nil {
		c.err = err
	}
	for _, a := range c.queue {
		a.cancel()
	}
	c.queue = nil
	c.changed.Broadcast()
}

// hidesState reports whether a state of the connection isn't passed on. While answers have to be written the connection isn't idle.
func (c *conn) hidesState(state http.ConnState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.idle = len(c.queue) > 0
		return c.idle
	case http.StateHijacked:
		c.opaque = true
		c.cancelAll(io.EOF)
	}
	return false
}

// waitForSpace waits until held bytes are below the limit. It returns an error when no further bytes should be read; c.mu is held.
func (c *conn) waitForSpace() error {
	for len(c.held) >= c.s.maxHeld() && c.err == nil && !expired(c.deadline) {
		c.changed.Wait()
	}
	if c.err != nil {
		return c.err
	}
	if expired(c.deadline) {
		return os.ErrDeadlineExceeded
	}
	return nil
}
