package httpconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// DetectReset returns the connection with reads that report a reset which a concurrent write has seen. The kernel reports a reset once, to
// whichever call comes first, and an end of file from then on: an answer that ends with its connection would look complete.
func DetectReset(raw net.Conn) net.Conn { return &resetDetector{Conn: raw} }

// resetDetector is the connection that DetectReset returns.
type resetDetector struct {
	net.Conn
	mu    sync.Mutex // held by a write in progress
	reset bool       // a write has seen a reset
}

// Read reads from the connection.
func (c *resetDetector) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.wasReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// wasReset ends a write in progress, and reports whether a write has seen a reset. The connection must have ended.
func (c *resetDetector) wasReset() bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, whose writes have ended
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reset
}

// Write writes to the connection.
func (c *resetDetector) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if errors.Is(err, syscall.ECONNRESET) {
		c.reset = true
	}
	return n, err
}

// ReadFrom copies r to the connection in larger pieces than those of a bufio.Writer.
func (c *resetDetector) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
