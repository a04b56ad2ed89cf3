package httpconn

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// endlessConn is a connection to a server that sends start and then repeats text up to sent bytes.
type endlessConn struct {
	net.Conn
	start, text string
	left        int
	closed      bool
}

func (c *endlessConn) Read(p []byte) (int, error) {
	if c.closed || c.left <= 0 {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) && c.left > 0 {
		if c.start == "" {
			c.start = c.text
		}
		k := copy(p[n:], c.start)
		c.start = c.start[k:]
		n, c.left = n+k, c.left-k
	}
	return n, nil
}

func (c *endlessConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *endlessConn) SetDeadline(time.Time) error      { return nil }
func (c *endlessConn) SetReadDeadline(time.Time) error  { return nil }
func (c *endlessConn) SetWriteDeadline(time.Time) error { return nil }
func (c *endlessConn) Close() error                     { c.closed = true; return nil }

// endlessBytes is what an endless answer has in the tests, far above any limit.
const endlessBytes = 8 << 20

// Guards against a header without end, which took memory until the request's time limit.
func TestHeaderWithoutEndIsRejected(t *testing.T) {
	for name, a := range map[string]endlessConn{
		"long line":       {start: "HTTP/1.1 200 OK\r\nX: ", text: "a"},
		"many lines":      {start: "HTTP/1.1 200 OK\r\n", text: "X-Name: value\r\n"},
		"folded line":     {start: "HTTP/1.1 200 OK\r\nX: a\r\n", text: " folded\r\n"},
		"status line":     {start: "HTTP/1.1 200 ", text: "O"},
		"no HTTP":         {text: "\x00\xff"},
		"interim answers": {text: "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim headers": {text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"trailer":         {start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", text: "X-Name: value\r\n"},
		"chunk extension": {start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", text: "a"},
		"chunk size":      {start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", text: "0"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := &a
			server.left = endlessBytes
			p := &Pool{Clock: clock.Real{}, Dial: func(context.Context) (net.Conn, error) { return server, nil }}
			_, err := get(p, t.Context())
			c.Check(kindOf(err), qt.Equals, BrokenAnswer, qt.Commentf("%v", err))
			c.Check(server.closed, qt.IsTrue)
			c.Check(endlessBytes-server.left <= maxHeaderBytes+bufferBytes, qt.IsTrue, qt.Commentf("%d bytes read", endlessBytes-server.left))
		})
	}
}

// Guards against a limit that counts more than the headers of one answer.
func TestHeadersUpToTheLimitAreRead(t *testing.T) {
	c := qt.New(t)
	long := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Long: " + strings.Repeat("a", maxHeaderBytes-100) + "\r\n\r\nok"
	server := &endlessConn{text: "HTTP/1.1 103 Early Hints\r\n\r\n" + long, left: 20 * len(long)}
	p := &Pool{Clock: clock.Real{}, Dial: func(context.Context) (net.Conn, error) { return server, nil }}
	for range 3 {
		body, err := get(p, t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
		server.closed, server.start = false, "" // surplus bytes close the connection
	}
}
