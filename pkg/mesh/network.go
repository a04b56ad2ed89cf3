package mesh

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

// newDialer returns a dialer from this VM's address whose connections detect a dead peer within about a second.
func newDialer(ip string, timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   timeout,
		LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)},
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var serr error
			err := c.Control(func(fd uintptr) {
				serr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return serr
		},
	}
}

// Network is how a node listens and dials; its zero value is TCP.
type Network struct {
	// Listen binds an address of this VM.
	Listen func(addr string) (net.Listener, error)
	// Dial connects from the VM with the given IP address to addr, within the timeout.
	Dial func(ctx context.Context, ip, addr string, timeout time.Duration) (net.Conn, error)
}

// listen binds an address of this VM.
func (w Network) listen(addr string) (net.Listener, error) {
	if w.Listen != nil {
		return w.Listen(addr)
	}
	return net.Listen("tcp", addr)
}

// dialFunc returns a function that dials one address.
func (w Network) dialFunc(ip, addr string, timeout time.Duration) func(context.Context) (net.Conn, error) {
	if w.Dial != nil {
		return func(ctx context.Context) (net.Conn, error) { return w.Dial(ctx, ip, addr, timeout) }
	}
	d := newDialer(ip, timeout)
	return func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

// Limits of connections to the store.
const (
	// storeIdleTimeout is how long a connection may be idle.
	storeIdleTimeout = 30 * time.Second
	// maxIdleStoreConns is how many idle connections are kept. A node makes three kinds of call, one at a time each; only records are
	// read in four parts at once.
	maxIdleStoreConns = 6
	// maxStoreHeaderBytes bounds the header of a response, with its interim responses.
	maxStoreHeaderBytes = 64 << 10
)

// NewStoreHTTP returns the HTTP client for the store, which dials from the address of this VM.
func NewStoreHTTP(ip string) *http.Client {
	return &http.Client{Transport: &storeTransport{http.Transport{
		DialContext:            newDialer(ip, storeCallTimeout).DialContext,
		MaxIdleConnsPerHost:    maxIdleStoreConns,
		IdleConnTimeout:        storeIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxStoreHeaderBytes,
	}}}
}

// storeTransport is the HTTP transport for the store. When a call times out without an answer, idle connections may be unresponsive as well, so it
// closes them: otherwise up to maxIdleStoreConns calls would fail one after the other.
type storeTransport struct {
	http.Transport
}

// RoundTrip makes one call and closes idle connections if the call times out.
func (t *storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r)
	if err != nil && errors.Is(r.Context().Err(), context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
	return res, err
}
