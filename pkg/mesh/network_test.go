package mesh

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/httpconn"
)

// droppingListener accepts TCP connections that can be made unresponsive: the kernel drops what arrives on them, so that nothing is
// acknowledged either.
type droppingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*net.TCPConn
}

// Accept records the accepted connection.
func (l *droppingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = append(l.conns, c.(*net.TCPConn))
	}
	return c, err
}

// dropIncoming makes all accepted connections unresponsive.
func (l *droppingListener) dropIncoming(c *qt.C) {
	l.mu.Lock()
	defer l.mu.Unlock()
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	for _, conn := range l.conns {
		raw, err := conn.SyscallConn()
		c.Assert(err, qt.IsNil)
		var serr error
		c.Assert(raw.Control(func(fd uintptr) {
			serr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
		}), qt.IsNil)
		c.Assert(serr, qt.IsNil)
	}
}

// serveDropping serves h on a droppingListener.
func serveDropping(t *testing.T, h http.HandlerFunc) *droppingListener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	l := &droppingListener{Listener: ln}
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return l
}

// maxDeadConnUse is how long a connection that is unresponsive on TCP may be used, with a margin for a busy machine.
const maxDeadConnUse = deadConnDetectTime + 3*time.Second

// A TCP connection whose other end is cut off fails its request within maxDeadConnUse, and isn't used again when it was idle.
func TestUnresponsiveTCPConnectionIsDropped(t *testing.T) {
	c := qt.New(t)
	l := serveDropping(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	dial := Network{}.dialFunc("127.0.0.1", l.Addr().String(), time.Second)
	p := &httpconn.Pool{Dial: dial, Clock: clock.Real{}, IdleTimeout: time.Minute}
	t.Cleanup(p.Close)
	get := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		res, err := p.Do(ctx, &httpconn.Request{Method: http.MethodGet, URI: "/", Host: "h"})
		if err == nil {
			_, err = readAndClose(res.Body, 10)
		}
		return err
	}
	c.Assert(get(), qt.IsNil)
	l.dropIncoming(c)
	begun := time.Now()
	c.Assert(get(), qt.IsNotNil) // sent on the dead connection: nothing is acknowledged
	c.Assert(time.Since(begun) < maxDeadConnUse, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
	c.Assert(get(), qt.IsNil)
	l.dropIncoming(c)
	for begun := time.Now(); time.Since(begun) < maxDeadConnUse; {
		time.Sleep(deadConnDetectTime + 500*time.Millisecond) // it is idle, and found dead meanwhile
		if get() == nil {
			return
		}
	}
	t.Fatal("a dead connection was used")
}

// After a call to the store has timed out, the next one uses a new connection.
func TestOnlyOneStoreCallFailsOnUnresponsiveConnections(t *testing.T) {
	c := qt.New(t)
	together := make(chan struct{})
	var arrive sync.WaitGroup
	arrive.Add(3)
	go func() {
		arrive.Wait()
		close(together)
	}()
	l := serveDropping(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			arrive.Done()
			<-together // so that each has a connection of its own
		}
		fmt.Fprint(w, "ok")
	})
	h := NewStoreHTTP("127.0.0.1")
	t.Cleanup(h.CloseIdleConnections)
	call := func(path string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		req := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String()+path, nil)
		req.RequestURI = ""
		res, err := h.Do(req)
		if err == nil {
			_, err = readAndClose(res.Body, 10)
		}
		return err
	}
	var calls sync.WaitGroup
	for range 3 {
		calls.Go(func() { c.Check(call("/together", time.Minute), qt.IsNil) })
	}
	calls.Wait()
	l.dropIncoming(c)
	c.Assert(call("/", 300*time.Millisecond), qt.IsNotNil)
	c.Assert(call("/", time.Minute), qt.IsNil)
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Assert(l.conns, qt.HasLen, 4)
}
