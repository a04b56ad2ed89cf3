package mesh

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryNetwork connects nodes, servers and clients within the process, so that whole sites run in simulated time.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	// unreachable reports whether a VM can't dial an address; open connections stay.
	unreachable func(ip, addr string) bool
	dialTime    time.Duration // duration of a dial, successful or refused

	dialed []*memoryConn // the dialing ends of all connections
}

// memoryAddr is an address on a memoryNetwork.
type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

// memoryConn is one end of a connection.
type memoryConn struct {
	net.Conn
	local, remote memoryAddr
	unresponsive  *atomic.Bool // nothing that one end sends reaches the other, not even its close
}

// Write drops b if the connection is unresponsive.
func (c *memoryConn) Write(b []byte) (int, error) {
	if c.unresponsive.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close ends only this side of an unresponsive connection.
func (c *memoryConn) Close() error {
	if c.unresponsive.Load() {
		return c.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

func (c *memoryConn) LocalAddr() net.Addr  { return c.local }
func (c *memoryConn) RemoteAddr() net.Addr { return c.remote }

// memoryListener accepts connections to one address.
type memoryListener struct {
	network  *memoryNetwork
	addr     memoryAddr
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memoryListener) Addr() net.Addr { return l.addr }

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr.String())
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// listen binds an address.
func (w *memoryNetwork) listen(addr string) (net.Listener, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listeners == nil {
		w.listeners = map[string]*memoryListener{}
	}
	if w.listeners[addr] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := &memoryListener{network: w, addr: memoryAddr(addr), incoming: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[addr] = l
	return l, nil
}

// dial connects after dialTime; it is refused if nothing listens at the address or the VM can't reach it.
func (w *memoryNetwork) dial(ctx context.Context, ip, addr string, _ time.Duration) (net.Conn, error) {
	w.mu.Lock()
	wait := w.dialTime
	w.mu.Unlock()
	time.Sleep(wait)
	w.mu.Lock()
	l := w.listeners[addr]
	blocked := w.unreachable != nil && w.unreachable(ip, addr)
	w.mu.Unlock()
	if l == nil || blocked {
		return nil, syscall.ECONNREFUSED
	}
	from := memoryAddr(net.JoinHostPort(ip, "1"))
	a, b := net.Pipe()
	lost := &atomic.Bool{}
	select {
	case l.incoming <- &memoryConn{Conn: b, local: l.addr, remote: from, unresponsive: lost}:
		c := &memoryConn{Conn: a, local: from, remote: l.addr, unresponsive: lost}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.dialed = append(w.dialed, c)
		return c, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// setDialTime sets the duration of later dials.
func (w *memoryNetwork) setDialTime(dialTime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dialTime = dialTime
}

// makeUnresponsive makes the open connections to some addresses unresponsive for good; new ones work.
func (w *memoryNetwork) makeUnresponsive(to func(addr string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.dialed {
		if to(c.remote.String()) {
			c.unresponsive.Store(true)
		}
	}
}

// client returns an HTTP client on a VM.
func (w *memoryNetwork) client(ip string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 500,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return w.dial(ctx, ip, addr, 0)
		},
	}}
}
