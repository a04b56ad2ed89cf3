package soak

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a network path from a VM to a destination: a node, a backend server or the store.
type link struct{ from, to string }

// linkFault is how a link misbehaves; the zero value is a healthy link.
type linkFault struct {
	Delay       time.Duration // added to each read, in both directions
	Blocked     bool          // data and closes from the VM are held up, without an error
	BlockedBack bool          // the same in the other direction
}

// linkProxy forwards connections and applies the faults of their links.
type linkProxy struct {
	mu     sync.Mutex
	faults map[link]*overlappingFaults[linkFault]
	conns  map[*proxiedConn]link
}

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	client, server *net.TCPConn
	silenced       atomic.Bool // for the rest of its life: data and closes are read and discarded
}

// Constants of the proxy.
const (
	proxyBuffer = 32 << 10
	// blockedPollPeriod is the time between checks whether a link is still blocked.
	blockedPollPeriod = 5 * time.Millisecond
	// proxyDialTimeout limits the time to connect to the destination.
	proxyDialTimeout = time.Second
)

// faultsOf returns the faults of a link, to add to or to read.
func (p *linkProxy) faultsOf(l link) *overlappingFaults[linkFault] {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults == nil {
		p.faults = map[link]*overlappingFaults[linkFault]{}
	}
	if p.faults[l] == nil {
		p.faults[l] = &overlappingFaults[linkFault]{}
	}
	return p.faults[l]
}

// currentFault returns the fault of a link that applies now.
func (p *linkProxy) currentFault(l link) linkFault { return p.faultsOf(l).current() }

// resetConns resets the open connections of a link.
func (p *linkProxy) resetConns(l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, on := range p.conns {
		if on == l {
			c.reset()
		}
	}
}

// silenceConns makes the open connections of a link unresponsive for the rest of their life.
func (p *linkProxy) silenceConns(l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, on := range p.conns {
		if on == l {
			c.silenced.Store(true)
		}
	}
}

// reset resets both ends. An end that is already closed is left as it is.
func (c *proxiedConn) reset() {
	for _, end := range []*net.TCPConn{c.client, c.server} {
		_ = end.SetLinger(0)
		_ = end.Close()
	}
}

// serve forwards connections from the listening address to the target until ctx ends; to is the destination in the
// name of their link. It returns once it listens, with an error if it can't.
func (p *linkProxy) serve(ctx context.Context, closing *sync.WaitGroup, listen, target, to string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	closeAfter(ctx, closing, ln)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return // closed at the end of the run
			}
			go p.forward(ctx, conn.(*net.TCPConn), target, to)
		}
	}()
	return nil
}

// forward connects to the target and copies data both ways until both directions end. It connects from the address of
// the VM that dialed, so that the target sees that address.
func (p *linkProxy) forward(ctx context.Context, client *net.TCPConn, target, to string) {
	from, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	d := net.Dialer{Timeout: proxyDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		_ = client.SetLinger(0) // a port that nobody listens on resets too
		_ = client.Close()
		return
	}
	c := &proxiedConn{client: client, server: conn.(*net.TCPConn)}
	l := link{from, to}
	p.track(c, l)
	defer p.untrack(c)
	var both sync.WaitGroup
	both.Go(func() { p.copyOneWay(ctx, c, c.client, c.server, func() bool { return p.currentFault(l).Blocked }, l) })
	both.Go(func() {
		p.copyOneWay(ctx, c, c.server, c.client, func() bool { return p.currentFault(l).BlockedBack }, l)
	})
	both.Wait()
	_ = c.client.Close()
	_ = c.server.Close()
}

// track adds c to the open connections of l.
func (p *linkProxy) track(c *proxiedConn, l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[*proxiedConn]link{}
	}
	p.conns[c] = l
}

// untrack removes c from the open connections.
func (p *linkProxy) untrack(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copyOneWay copies data from src to dst. While the link is blocked, data and closes wait; they are passed on when it
// is unblocked.
func (p *linkProxy) copyOneWay(ctx context.Context, c *proxiedConn, src, dst *net.TCPConn, blocked func() bool, l link) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := src.Read(buf)
		time.Sleep(p.currentFault(l).Delay)
		for blocked() && ctx.Err() == nil {
			time.Sleep(blockedPollPeriod)
		}
		if c.silenced.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			if isConnReset(err) {
				c.reset()
			}
			_ = dst.CloseWrite() // the other direction may still be in use
			return
		}
	}
}
