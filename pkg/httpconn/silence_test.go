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

func TestSilenceCountsFromTheFirstRequestWithoutAnAnswer(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s silence
	c.Check(s.sending(at(0), 100*time.Millisecond, 1).IsZero(), qt.IsTrue)
	c.Check(s.sending(at(50), 200*time.Millisecond, 1).IsZero(), qt.IsTrue)
	c.Check(s.sending(at(199), 100*time.Millisecond, 1).IsZero(), qt.IsTrue) // the second has patience still
	c.Check(s.sending(at(200), 100*time.Millisecond, 1), qt.Equals, at(0))
	c.Check(s.sending(at(900), time.Second, 5).IsZero(), qt.IsTrue) // four before it, of five
	s = silence{}
	c.Check(s.sending(at(1000), 100*time.Millisecond, 1).IsZero(), qt.IsTrue)
}

// What rests while nothing is answered is closed, and the next request goes on a new connection.
func TestConnectionsThatMayHaveGoneSilentAreLeft(t *testing.T) {
	c := qt.New(t)
	hold := make(chan struct{})
	var silent atomic.Bool
	p, conns := script(t, func(n net.Conn, k int, _ *http.Request) bool {
		if silent.Load() && k > 1 {
			<-hold // only connections that had carried a request
		}
		return write(n, okAnswer)
	})
	defer close(hold)
	const patience = 20 * time.Millisecond
	send := func(ctx context.Context, patience time.Duration) error {
		res, err := p.Do(ctx, &Request{Method: "GET", URI: "/", Host: "h", ExpectedResponseTime: patience})
		if err == nil {
			defer res.Body.Close()
			_, err = io.ReadAll(res.Body)
		}
		return err
	}
	first, err := p.get(context.Background(), time.Time{})
	c.Assert(err, qt.IsNil)
	second, err := p.get(context.Background(), time.Time{})
	c.Assert(err, qt.IsNil)
	for _, k := range []*conn{first, second} { // each carries one request
		x := &exchange{conn: k, ctx: context.Background(), stop: func() bool { return true }}
		res, err := x.run(&Request{Method: "GET", URI: "/", Host: "h"})
		c.Assert(err, qt.IsNil)
		_, err = io.ReadAll(res.Body)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(p.OpenCount(), qt.Equals, 2)
	silent.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	c.Assert(send(ctx, patience), qt.IsNotNil)
	c.Assert(send(context.Background(), patience), qt.IsNil)
	c.Assert(conns.Load(), qt.Equals, int64(3))
	c.Assert(p.OpenCount(), qt.Equals, 1)
}
