package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// longBody returns a body that doesn't end before the test does.
func longBody(t *testing.T) io.Reader { return ctxReader{t.Context()} }

// ctxReader reads zeros until its context ends.
type ctxReader struct{ ctx context.Context }

// Read fills p.
func (r ctxReader) Read(p []byte) (int, error) { return len(p), r.ctx.Err() }

// startEarlyServer returns the address of a server that answers a request without a length, before it has read the body, and then calls end.
func startEarlyServer(t *testing.T, end func(c *net.TCPConn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			raw, err := ln.Accept()
			if err != nil {
				return
			}
			c := raw.(*net.TCPConn)
			_, _ = c.Read(make([]byte, 100)) // the start of the request
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe first part")
			time.Sleep(20 * time.Millisecond)
			end(c)
		}
	}()
	return ln.Addr().String()
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against an answer without a length that is reset while the body is being sent, and looks complete.
func TestResetAnswerIsNotComplete(t *testing.T) {
	c := qt.New(t)
	addr := startEarlyServer(t, reset)
	p, _ := startServer(t, nil)
	p.Dial = func(context.Context) (net.Conn, error) { return net.Dial("tcp", addr) }
	for _, pause := range []time.Duration{0, 60 * time.Millisecond} { // after the pause the sender has seen the reset
		for range 20 {
			res, err := p.Do(t.Context(), &Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Stream: longBody(t), StreamLength: 1 << 40})
			if err == nil {
				time.Sleep(pause)
				_, err = io.ReadAll(res.Body)
			}
			var e *Error
			c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("after a pause of %v: %v", pause, err))
		}
	}
}

// Guards against an answer that ended with its connection being taken for a reset one, since the body couldn't be sent to its end.
func TestAnswerThatEndsWithItsConnectionIsComplete(t *testing.T) {
	c := qt.New(t)
	addr := startEarlyServer(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		reset(c)
	})
	p, _ := startServer(t, nil)
	p.Dial = func(context.Context) (net.Conn, error) { return net.Dial("tcp", addr) }
	for range 20 {
		res, err := p.Do(t.Context(), &Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Stream: longBody(t), StreamLength: 1 << 40})
		c.Assert(err, qt.IsNil)
		text, err := io.ReadAll(res.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(text), qt.Equals, "the first part")
	}
}
