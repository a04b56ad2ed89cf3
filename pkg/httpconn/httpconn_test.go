package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// startServer starts a server that calls handle for the n-th request of each connection, and closes the connection when handle returns
// false. It returns a pool of connections to the server and the number of connections accepted so far.
func startServer(t *testing.T, handle func(c net.Conn, n int, r *http.Request) bool) (*Pool, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	conns := &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !handle(c, n, r) {
						return
					}
				}
			}()
		}
	}()
	d := net.Dialer{}
	p := &Pool{Clock: clock.Real{}, Dial: func(ctx context.Context) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", ln.Addr().String())
	}}
	t.Cleanup(p.Close)
	return p, conns
}

// get sends a GET request and returns the answer's body.
func get(p *Pool, ctx context.Context) (string, error) {
	res, err := p.Do(ctx, &Request{Method: "GET", URI: "/x?y=1", Host: "h", Header: http.Header{"A": {"b"}}})
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

// write writes s to the connection and reports whether that succeeded.
func write(c net.Conn, s string) bool {
	_, err := io.WriteString(c, s)
	return err == nil
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// kindOf returns the kind of an *Error, or 0 if err isn't one.
func kindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func TestConnectionsAreReused(t *testing.T) {
	c := qt.New(t)
	p, conns := startServer(t, func(n net.Conn, _ int, r *http.Request) bool {
		return r.URL.RawQuery == "y=1" && r.Host == "h" && r.Header.Get("A") == "b" && write(n, okAnswer)
	})
	for range 5 {
		body, err := get(p, context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
	}
	c.Assert(conns.Load(), qt.Equals, int64(1))
	c.Assert(p.OpenCount(), qt.Equals, 1)
}

// A surplus answer that arrives late would be read as the answer to the next request on the connection.
func TestSurplusAnswerIsNeverRead(t *testing.T) {
	c := qt.New(t)
	p, conns := startServer(t, func(n net.Conn, _ int, _ *http.Request) bool {
		if !write(n, okAnswer) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
		return write(n, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
	})
	for range 4 {
		body, err := get(p, context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
		time.Sleep(60 * time.Millisecond)
	}
	c.Assert(conns.Load(), qt.Equals, int64(4))
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	c := qt.New(t)
	p, _ := startServer(t, func(n net.Conn, _ int, _ *http.Request) bool {
		write(n, okAnswer)
		return false
	})
	for range 3 {
		_, err := get(p, context.Background())
		c.Assert(err, qt.IsNil)
		time.Sleep(30 * time.Millisecond)
	}
}

// The pool never sends a request twice, also when the connection closes without an answer.
func TestRequestIsNotRetriedAfterALostAnswer(t *testing.T) {
	c := qt.New(t)
	seen := &atomic.Int64{}
	p, _ := startServer(t, func(n net.Conn, k int, _ *http.Request) bool {
		seen.Add(1)
		return k == 1 && write(n, okAnswer)
	})
	_, err := get(p, context.Background())
	c.Assert(err, qt.IsNil)
	_, err = get(p, context.Background())
	c.Assert(kindOf(err), qt.Equals, NoAnswer)
	c.Assert(seen.Load(), qt.Equals, int64(2))
}

func TestInvalidAnswersCloseTheConnection(t *testing.T) {
	c := qt.New(t)
	for name, bytes := range map[string]string{
		"cut body":    "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf",
		"cut chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"not HTTP":    "what is this\r\n\r\n",
		"bad chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"cut header":  "HTTP/1.1 200 OK\r\nContent-Le",
		"two lengths": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	} {
		p, _ := startServer(t, func(n net.Conn, _ int, _ *http.Request) bool {
			write(n, bytes)
			return false
		})
		_, err := get(p, context.Background())
		k := kindOf(err)
		c.Assert(k == BrokenAnswer || k == NoAnswer, qt.IsTrue, qt.Commentf("%s: %v", name, err))
		c.Assert(p.OpenCount(), qt.Equals, 0, qt.Commentf("%s", name))
	}
}

// Guards against an answer whose status is none, which was taken for an interim one: the next bytes were its request's answer.
func TestAnswerWithAnInvalidStatusIsRejected(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099", "101"} {
		for name, rest := range map[string]string{
			"alone":               "Content-Length: 0\r\n\r\n",
			"without a length":    "\r\n",
			"with a body":         "Content-Length: 5\r\n\r\nhello",
			"and a second answer": "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			"after an interim":    "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		} {
			c := qt.New(t)
			first := "HTTP/1.1 " + status + " What\r\n"
			if name == "after an interim" {
				first = "HTTP/1.1 103 Early Hints\r\n\r\n" + first
			}
			p, seen := startServer(t, func(n net.Conn, _ int, _ *http.Request) bool { return write(n, first+rest) })
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := get(p, ctx)
			cancel()
			c.Check(kindOf(err), qt.Equals, BrokenAnswer, qt.Commentf("%s %s: %v", status, name, err))
			c.Check(p.OpenCount(), qt.Equals, 0, qt.Commentf("%s %s", status, name))
			c.Check(seen.Load(), qt.Equals, int64(1))
		}
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	c := qt.New(t)
	p, _ := startServer(t, func(n net.Conn, _ int, _ *http.Request) bool {
		write(n, "HTTP/1.1 200 OK\r\n\r\nto the end")
		return false
	})
	body, err := get(p, context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "to the end")

	p, _ = startServer(t, func(n net.Conn, _ int, _ *http.Request) bool {
		write(n, "HTTP/1.1 200 OK\r\n\r\nto the ")
		time.Sleep(20 * time.Millisecond)
		_ = n.(*net.TCPConn).SetLinger(0) // the close becomes a reset
		return false
	})
	_, err = get(p, context.Background())
	c.Assert(kindOf(err), qt.Equals, BrokenAnswer, qt.Commentf("%v", err))
}

func TestCancelClosesTheConnection(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	p, _ := startServer(t, func(n net.Conn, _ int, _ *http.Request) bool {
		_, _ = n.Read(make([]byte, 1)) // returns when the other side closes the connection
		close(closed)
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := get(p, ctx)
	c.Assert(kindOf(err), qt.Equals, Canceled)
	<-closed
}

func TestFailedDialIsReportedAsNotConnected(t *testing.T) {
	c := qt.New(t)
	p := &Pool{Clock: clock.Real{}, Dial: func(context.Context) (net.Conn, error) { return nil, net.ErrClosed }}
	_, err := get(p, context.Background())
	c.Assert(kindOf(err), qt.Equals, NotConnected)
	c.Assert(p.OpenCount(), qt.Equals, 0)
}

// An answer may arrive before a streamed body is sent; the connection can't be reused then.
func TestConnectionIsNotReusedAfterAnEarlyAnswer(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	go func() {
		for {
			n, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer n.Close()
				if _, err := http.ReadRequest(bufio.NewReader(n)); err != nil {
					return
				}
				write(n, okAnswer)
				time.Sleep(50 * time.Millisecond)
			}()
		}
	}()
	d := net.Dialer{}
	p := &Pool{Clock: clock.Real{}, Dial: func(ctx context.Context) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", ln.Addr().String())
	}}
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", 1000)), blockedReader{make(chan struct{})})
	res, err := p.Do(context.Background(), &Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Stream: body, StreamLength: 1 << 20})
	c.Assert(err, qt.IsNil)
	b, err := io.ReadAll(res.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(b), qt.Equals, "ok")
	c.Assert(p.OpenCount(), qt.Equals, 0)
}

// blockedReader blocks in Read until c is closed, and then returns io.EOF.
type blockedReader struct{ c chan struct{} }

func (r blockedReader) Read([]byte) (int, error) { <-r.c; return 0, io.EOF }

func TestKeepAliveTimeoutOfTheServerIsRespected(t *testing.T) {
	c := qt.New(t)
	clk := clock.NewManual(time.Unix(0, 0))
	p, conns := startServer(t, func(n net.Conn, _ int, _ *http.Request) bool {
		return write(n, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2, max=9\r\nContent-Length: 0\r\n\r\n")
	})
	p.Clock = clk
	for _, idle := range []time.Duration{900 * time.Millisecond, 1100 * time.Millisecond, 0} {
		_, err := get(p, context.Background())
		c.Assert(err, qt.IsNil)
		clk.Advance(idle)
	}
	c.Assert(conns.Load(), qt.Equals, int64(2))
	clk.Advance(time.Hour)
	p.CloseExpired()
	c.Assert(p.OpenCount(), qt.Equals, 0)
}

func FuzzAnswers(f *testing.F) {
	f.Add(okAnswer)
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, bytes string) {
		client, server := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(server))
			_, _ = io.WriteString(server, bytes)
			server.Close()
		}()
		p := &Pool{Clock: clock.Real{}, Dial: func(context.Context) (net.Conn, error) { return client, nil }}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := get(p, ctx); err != nil && kindOf(err) == 0 {
			t.Fatal(fmt.Errorf("untyped: %w", err))
		}
	})
}

// Guards against an aborted exchange that waits on, or whose connection is used again.
func TestAbortEndsTheWaitForAnAnswer(t *testing.T) {
	c := qt.New(t)
	var a Aborter
	p, conns := startServer(t, func(conn net.Conn, n int, r *http.Request) bool {
		if r.URL.Path == "/wait" {
			a.Abort()
			_, _ = io.Copy(io.Discard, conn) // until the connection is closed
			return false
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	_, err := p.Do(context.Background(), &Request{Method: http.MethodGet, URI: "/wait", Host: "h", Aborter: &a})
	c.Assert(err, qt.IsNotNil)
	c.Assert(a.Aborted(), qt.IsTrue)
	_, err = p.Do(context.Background(), &Request{Method: http.MethodGet, URI: "/wait", Host: "h", Aborter: &a})
	c.Assert(err, qt.IsNotNil, qt.Commentf("aborted before it began"))
	res, err := p.Do(context.Background(), &Request{Method: http.MethodGet, URI: "/x", Host: "h", Aborter: &Aborter{}})
	c.Assert(err, qt.IsNil)
	c.Assert(res.Status, qt.Equals, http.StatusOK)
	c.Assert(conns.Load() >= 2, qt.IsTrue)
}
