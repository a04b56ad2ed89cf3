package mesh

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT on Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// dialer makes connections from this VM's address that notice a dead peer within about a second.
func dialer(ip string, timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   timeout,
		LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)},
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var serr error
			err := c.Control(func(fd uintptr) {
				serr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTime.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return serr
		},
	}
}

// Network is how a node listens and connects; its zero value is TCP.
type Network struct {
	// Listen binds an address of this VM.
	Listen func(addr string) (net.Listener, error)
	// Dial connects from the VM with the IP number to an address, within the timeout.
	Dial func(ctx context.Context, ip, addr string, timeout time.Duration) (net.Conn, error)
}

// listen binds an address of this VM.
func (w Network) listen(addr string) (net.Listener, error) {
	if w.Listen != nil {
		return w.Listen(addr)
	}
	return net.Listen("tcp", addr)
}

// dialFunc returns a function that connects to one address.
func (w Network) dialFunc(ip, addr string, timeout time.Duration) func(context.Context) (net.Conn, error) {
	if w.Dial != nil {
		return func(ctx context.Context) (net.Conn, error) { return w.Dial(ctx, ip, addr, timeout) }
	}
	d := dialer(ip, timeout)
	return func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

// The bounds of connections to the store.
const (
	// storeIdle is how long one rests.
	storeIdle = 30 * time.Second
	// storeConns are kept: a node makes three kinds of call, one at a time each, but for records, which it reads in four
	// parts at once.
	storeConns = 6
)

// NewStoreHTTP returns the HTTP client for the store, from the address of this VM.
func NewStoreHTTP(ip string) *http.Client {
	return &http.Client{Transport: &storeTransport{http.Transport{
		DialContext:         dialer(ip, storeCallTimeout).DialContext,
		MaxIdleConnsPerHost: storeConns,
		IdleConnTimeout:     storeIdle,
		DisableCompression:  true,
	}}}
}

// storeTransport makes the calls to the store. When the time of one is up without an answer, the connections that rest may have gone
// silent with its own, and are closed: else up to storeConns calls would fail one after the other.
type storeTransport struct {
	http.Transport
}

// RoundTrip makes one call.
func (t *storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r)
	if err != nil && errors.Is(r.Context().Err(), context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
	return res, err
}
