package pipeline

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"os"
	"slices"
)

// readSize is the size of reads of pipelined requests, in bytes; net/http's is the same.
const readSize = 4 << 10

// fill reads requests and starts them until the read deadline or the connection ends, and returns the error.
func (c *conn) fill() error {
	chunk := make([]byte, readSize)
	for {
		if err := c.startHeld(); err != nil {
			return err
		}
		n, err := c.Conn.Read(chunk)
		c.mu.Lock()
		c.held = append(c.held, chunk[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancelAll(err)
		}
		c.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// startHeld starts the held requests that may run ahead, and waits until there is space for further bytes.
func (c *conn) startHeld() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startRequests()
	return c.waitForSpace()
}

// startRequests starts the held requests that may run ahead, up to maxAhead in all; c.mu is held.
func (c *conn) startRequests() {
	for c.begun && c.err == nil && !c.waits && len(c.queue) < maxAhead && (!c.ended || len(c.queue) > 0) {
		var e headerEnd
		n, ended := e.next(c.held)
		if !ended {
			return
		}
		if c.waits = !c.runsAhead(c.held[:n]); c.waits {
			return
		}
		a := newAnswer(c.LocalAddr(), c.RemoteAddr(), slices.Clone(c.held[:n]), &c.s.buffered)
		c.dropHeld(n)
		c.queue = append(c.queue, a)
		c.s.answers.serve(a)
		if c.s.OnPipelined != nil {
			c.s.OnPipelined(c.RemoteAddr(), !c.pipelines)
		}
		c.pipelines = true
	}
}

// runsAhead reports whether the request with the header may be served before the ones before it are answered.
func (c *conn) runsAhead(header []byte) bool {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(header)))
	if err != nil {
		return false // net/http answers it in its turn
	}
	return isSafe(r.Method) && r.ProtoAtLeast(1, 1) && r.ContentLength == 0 && len(r.TransferEncoding) == 0 && !r.Close &&
		r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == "" && c.s.mayRunAhead(r.Host, r.RequestURI)
}

// isSafe reports whether requests with the method may run in any order, according to RFC 9112, section 9.3.2.
func isSafe(method string) bool { return method == http.MethodGet || method == http.MethodHead }
