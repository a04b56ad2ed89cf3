package soak

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a way from one VM to a place: a node, a backend server or the store.
type link struct{ from, to string }

// linkFault is how a link misbehaves; its zero value is a sound link.
type linkFault struct {
	Delay    time.Duration // added to every piece of data, each way
	Mute     bool          // nothing gets to the other end, and nobody hears that
	MuteBack bool          // the same for what comes back
}

// linkProxy carries connections and knows the links' faults.
type linkProxy struct {
	mu      sync.Mutex
	faults  map[link]*overlapping[linkFault]
	carried map[*carried]link
}

// carried is one connection on its way through the proxy.
type carried struct {
	near, far *net.TCPConn
	silent    atomic.Bool // for good: what comes is taken and goes nowhere, an end included
}

// The proxy's constants.
const (
	proxyBuffer = 32 << 10
	// mutedPoll is the time between looks at whether a muted link speaks again.
	mutedPoll = 5 * time.Millisecond
	// proxyDial bounds the connection to the place itself.
	proxyDial = time.Second
)

// on returns the faults of a link.
func (p *linkProxy) on(l link) *overlapping[linkFault] {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults == nil {
		p.faults = map[link]*overlapping[linkFault]{}
	}
	if p.faults[l] == nil {
		p.faults[l] = &overlapping[linkFault]{}
	}
	return p.faults[l]
}

func (p *linkProxy) fault(l link) linkFault { return p.on(l).now() }

// reset breaks all connections of a link.
func (p *linkProxy) reset(l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, on := range p.carried {
		if on == l {
			c.breakOff()
		}
	}
}

// silence makes the connections of a link that are open go silent for good.
func (p *linkProxy) silence(l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, on := range p.carried {
		if on == l {
			c.silent.Store(true)
		}
	}
}

// breakOff resets both ends; they may have been closed before, which is as good.
func (c *carried) breakOff() {
	for _, end := range []*net.TCPConn{c.near, c.far} {
		_ = end.SetLinger(0)
		_ = end.Close()
	}
}

// serve carries connections from the listening address to the target until ctx ends; to names the place.
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
			go p.carry(ctx, conn.(*net.TCPConn), target, to)
		}
	}()
	return nil
}

// carry connects on from the address of the VM that connected, so that the other end sees who it is.
func (p *linkProxy) carry(ctx context.Context, near *net.TCPConn, target, to string) {
	from, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	d := net.Dialer{Timeout: proxyDial, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		_ = near.SetLinger(0) // a dead port resets
		_ = near.Close()
		return
	}
	c := &carried{near: near, far: conn.(*net.TCPConn)}
	l := link{from, to}
	p.keep(c, l)
	defer p.drop(c)
	var both sync.WaitGroup
	both.Go(func() { p.pump(ctx, c, c.near, c.far, func() bool { return p.fault(l).Mute }, l) })
	both.Go(func() { p.pump(ctx, c, c.far, c.near, func() bool { return p.fault(l).MuteBack }, l) })
	both.Wait()
	_ = c.near.Close()
	_ = c.far.Close()
}

func (p *linkProxy) keep(c *carried, l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.carried == nil {
		p.carried = map[*carried]link{}
	}
	p.carried[c] = l
}

func (p *linkProxy) drop(c *carried) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.carried, c)
}

// pump copies one direction; what a muted link holds up, an end included, goes on when it speaks again.
func (p *linkProxy) pump(ctx context.Context, c *carried, src, dst *net.TCPConn, muted func() bool, l link) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := src.Read(buf)
		time.Sleep(p.fault(l).Delay)
		for muted() && ctx.Err() == nil {
			time.Sleep(mutedPoll)
		}
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				c.breakOff()
				return
			}
		}
		if err != nil {
			if isReset(err) {
				c.breakOff()
			}
			_ = dst.CloseWrite() // the other direction may still be in use
			return
		}
	}
}
