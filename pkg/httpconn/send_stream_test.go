package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
)

const streamText = "streamed body"

// post sends a streamed body; begun reports whether anything of it was read.
func post(p *Pool, body io.Reader, wait time.Duration) (text string, begun bool, err error) {
	res, err := p.Do(context.Background(), &Request{
		Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Stream: body, StreamLength: int64(len(streamText)),
		ContinueWait: wait, StreamBegins: func() { begun = true },
	})
	if err != nil {
		return "", begun, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return string(b), begun, err
}

// The servers of startServer read the body without asking for it, as a node could that ignores the header; the connection is reused.
func TestStreamIsSentToAServerThatDoesNotAskForIt(t *testing.T) {
	c := qt.New(t)
	for _, wait := range []time.Duration{0, 10 * time.Millisecond} {
		expects := make(chan string, 3)
		p, conns := startServer(t, func(n net.Conn, _ int, r *http.Request) bool {
			expects <- r.Header.Get("Expect")
			time.Sleep(5 * time.Millisecond) // an answer that comes while the end of the body is being sent closes the connection
			return write(n, okAnswer)
		})
		for range 3 {
			text, begun, err := post(p, strings.NewReader(streamText), wait)
			c.Assert(err, qt.IsNil)
			c.Check(begun, qt.IsTrue)
			c.Check(text, qt.Equals, "ok")
			c.Check(<-expects == "100-continue", qt.Equals, wait > 0)
		}
		c.Check(conns.Load(), qt.Equals, int64(1))
	}
}

// A refusal that comes before the body was asked for must leave it unread, so that it can go to another server.
func TestStreamIsUntouchedAfterARefusal(t *testing.T) {
	c := qt.New(t)
	s := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			time.Sleep(20 * time.Millisecond) // at a gate
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer s.Close()
	go s.Serve(ln)
	p, _ := startServer(t, nil)
	p.Dial = func(context.Context) (net.Conn, error) { return net.Dial("tcp", ln.Addr().String()) }
	_, begun, err := post(p, strings.NewReader(streamText), time.Minute)
	c.Assert(err, qt.IsNil)
	c.Check(begun, qt.IsFalse)
	c.Check(p.OpenCount(), qt.Equals, 0, qt.Commentf("the server may take what follows for the body"))
}

// A body that breaks off is the client's fault: it must not look like a server that lost the connection.
func TestBrokenStreamIsNotTheServersFault(t *testing.T) {
	c := qt.New(t)
	p, _ := startServer(t, func(net.Conn, int, *http.Request) bool { return false })
	for _, body := range []io.Reader{strings.NewReader(streamText[:3]), io.MultiReader(strings.NewReader(streamText[:3]), iotest.ErrReader(errors.New("cut")))} {
		_, _, err := post(p, body, 0)
		c.Check(kindOf(err), qt.Equals, BrokenBody, qt.Commentf("%v", err))
		c.Check(p.OpenCount(), qt.Equals, 0)
	}
}

// Guards against a client that sends all of its body before it reads the answer, and waits for a server that reads no more of it.
func TestBodyIsReadToItsEndAfterAnAnswer(t *testing.T) {
	c := qt.New(t)
	addr := startEarlyServer(t, func(conn *net.TCPConn) { <-t.Context().Done(); conn.Close() })
	p, _ := startServer(t, nil)
	p.Dial = func(context.Context) (net.Conn, error) { return net.Dial("tcp", addr) }
	body, client := io.Pipe()
	res, err := p.Do(t.Context(), &Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Stream: body, StreamLength: 64 << 20})
	c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	_, err = client.Write(make([]byte, 64<<20))
	c.Assert(err, qt.IsNil)
}
