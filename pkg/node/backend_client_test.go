package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/metric"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// TestRequestIsSentOnceAfterBrokenKeepAlive closes keep-alive connections after the request was read. Go's HTTP client then
// resends a request with an Idempotency-Key by itself, unless its body can't be rewound.
func TestRequestIsSentOnceAfterBrokenKeepAlive(t *testing.T) {
	c := qt.New(t)
	var got atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if got.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	n := &Node{cfg: settings.Settings{Backend: settings.Backend{Address: srv.Listener.Addr().String()}}, network: Network{}.withDefaults()}
	n.backend = n.newBackendTransport()
	defer n.backend.CloseIdleConnections()
	send := func(body []byte) *answer {
		in := &inbound{id: "1", call: wire.Call{Key: "k"}}
		return n.callBackend(context.Background(), in, &request{method: http.MethodPost, uri: "/", header: http.Header{}, body: body})
	}
	c.Assert(send(nil).meta.Outcome, qt.Equals, wire.Ran, qt.Commentf("the first request leaves an idle connection"))
	for _, body := range [][]byte{nil, []byte("charge")} {
		before := got.Load()
		a := send(body)
		c.Assert(a.meta.Outcome, qt.Equals, wire.Unknown)
		c.Assert(got.Load()-before, qt.Equals, int64(1))
	}
}

func TestFailedDialIsNotRun(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := ln.Addr().String()
	c.Assert(ln.Close(), qt.IsNil)
	n := &Node{cfg: settings.Settings{Backend: settings.Backend{Address: addr}}, network: Network{}.withDefaults()}
	n.backend = n.newBackendTransport()
	a := n.callBackend(context.Background(), &inbound{id: "1"}, &request{method: http.MethodGet, uri: "/", header: http.Header{}})
	c.Assert(a.meta.Outcome, qt.Equals, wire.NotRun)
}

func TestRefusalAfterOutboundCallsCountsAsRun(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	n := &Node{clock: clock.NewManual(now), metrics: metric.NewSet()}
	busy := func() *answer {
		return &answer{meta: wire.Answer{Outcome: wire.Ran}, status: http.StatusServiceUnavailable, header: http.Header{"Retry-After": {"1"}}}
	}
	c.Assert(n.classifyAnswer(&inbound{}, busy(), "r", now).meta.Outcome, qt.Equals, wire.NotRun)
	called := &inbound{}
	called.beginOutbound(now)
	called.endOutbound(now, 1, wire.Answer{Outcome: wire.Ran})
	c.Assert(n.classifyAnswer(called, busy(), "r", now).meta.Outcome, qt.Equals, wire.Ran)
}

// Guards against an answer without a length that is reset while the body is being sent, and looks complete.
func TestResetAnswerOfTheBackendIsNotComplete(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 100))
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe first part"))
			time.Sleep(5 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	n := &Node{cfg: settings.Settings{Backend: settings.Backend{Address: ln.Addr().String()}}, network: Network{}.withDefaults()}
	n.backend = n.newBackendTransport()
	for range 100 {
		a := n.callBackend(context.Background(), &inbound{id: "1"}, &request{method: http.MethodPost, uri: "/", header: http.Header{}, body: make([]byte, 8<<20)})
		c.Assert(a.meta.Outcome, qt.Equals, wire.Unknown, qt.Commentf("%q", a.body))
	}
}

// Guards against a header without end of the local backend server or another daemon, which took memory until the call's time limit.
func TestHeaderWithoutEndOfTheBackendIsRejected(t *testing.T) {
	c := qt.New(t)
	var sent atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 100))
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: ")
		for line := make([]byte, 4<<10); err == nil && sent.Load() < 64<<20; {
			var k int
			k, err = conn.Write(line)
			sent.Add(int64(k))
		}
	}()
	n := &Node{cfg: settings.Settings{Backend: settings.Backend{Address: ln.Addr().String()}}, network: Network{}.withDefaults()}
	n.backend = n.newBackendTransport()
	a := n.callBackend(context.Background(), &inbound{id: "1"}, &request{method: http.MethodGet, uri: "/", header: http.Header{}})
	c.Check(a.meta.Outcome, qt.Equals, wire.Unknown)
	<-ended
	c.Check(n.backend.MaxResponseHeaderBytes, qt.Equals, int64(maxAnswerHeaderBytes))
	c.Check(sent.Load() < 64<<20, qt.IsTrue, qt.Commentf("the connection is closed before the server has sent all"))
}

// Guards against an answer whose status is none: the call was reported as run and the caller got 504, or no answer.
func TestAnswerOfTheBackendWithAnInvalidStatusIsLost(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101"} {
		c := qt.New(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer ln.Close()
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" What\r\nContent-Length: 0\r\n\r\n")
		}()
		n := &Node{cfg: settings.Settings{Backend: settings.Backend{Address: ln.Addr().String()}}, network: Network{}.withDefaults()}
		n.backend = n.newBackendTransport()
		a := n.callBackend(t.Context(), &inbound{id: "1"}, &request{method: http.MethodPost, uri: "/", header: http.Header{}})
		c.Check(a.meta.Outcome, qt.Equals, wire.Unknown, qt.Commentf("%s", status))
		c.Check(a.meta.Reason, qt.Equals, wire.ReasonAnswerLost)
		n.backend.CloseIdleConnections()
	}
}
