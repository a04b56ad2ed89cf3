package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestUnansweredTimeCountsFromTheFirstRequest(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s unanswered
	c.Check(s.recordSend(at(0), 100*time.Millisecond, 1).IsZero(), qt.IsTrue)
	c.Check(s.recordSend(at(50), 200*time.Millisecond, 1).IsZero(), qt.IsTrue)
	c.Check(s.recordSend(at(199), 100*time.Millisecond, 1).IsZero(), qt.IsTrue) // the second isn't overdue yet
	c.Check(s.recordSend(at(200), 100*time.Millisecond, 1), qt.Equals, at(0))
	c.Check(s.recordSend(at(900), time.Second, 5).IsZero(), qt.IsTrue) // four requests before it; five are needed
	s = unanswered{}
	c.Check(s.recordSend(at(1000), 100*time.Millisecond, 1).IsZero(), qt.IsTrue)
}

// Connections that are idle while a request goes unanswered are closed, and the next request goes on a new connection. Otherwise
// it could wait on another unresponsive connection.
func TestIdleConnectionsAreClosedAfterAnUnansweredRequest(t *testing.T) {
	c := qt.New(t)
	hold := make(chan struct{})
	var unresponsive atomic.Bool
	p, conns := startServer(t, func(n net.Conn, k int, _ *http.Request) bool {
		if unresponsive.Load() && k > 1 {
			<-hold // only connections that have carried a request before
		}
		return write(n, okAnswer)
	})
	defer close(hold)
	const expected = 20 * time.Millisecond
	send := func(ctx context.Context, expected time.Duration) error {
		res, err := p.Do(ctx, &Request{Method: "GET", URI: "/", Host: "h", ExpectedResponseTime: expected})
		if err == nil {
			defer res.Body.Close()
			_, err = io.ReadAll(res.Body)
		}
		return err
	}
	first, err := p.acquire(context.Background(), time.Time{}, nil)
	c.Assert(err, qt.IsNil)
	second, err := p.acquire(context.Background(), time.Time{}, nil)
	c.Assert(err, qt.IsNil)
	for _, k := range []*conn{first, second} { // each carries one request
		x := &exchange{conn: k, ctx: context.Background(), stop: func() bool { return true }}
		res, err := x.run(&Request{Method: "GET", URI: "/", Host: "h"})
		c.Assert(err, qt.IsNil)
		_, err = io.ReadAll(res.Body)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(p.OpenCount(), qt.Equals, 2)
	unresponsive.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 2*expected)
	defer cancel()
	c.Assert(send(ctx, expected), qt.IsNotNil)
	c.Assert(send(context.Background(), expected), qt.IsNil)
	c.Assert(conns.Load(), qt.Equals, int64(3))
	c.Assert(p.OpenCount(), qt.Equals, 1)
}
