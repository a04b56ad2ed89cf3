package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP connections to a target. Its open connections on which a call waits for its answer can go silent for good: what arrives on
// them is read and dropped, no close is passed on, and new connections work.
type proxy struct {
	target string
	ln     net.Listener
	mu     sync.Mutex
	conns  map[*pair]bool
}

type pair struct {
	a, b    net.Conn
	silent  atomic.Bool
	waiting atomic.Bool // the last bytes came from the client
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, ln: ln, conns: map[*pair]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *proxy) forward(a net.Conn) {
	b, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		a.Close()
		return
	}
	c := &pair{a: a, b: b}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { c.copy(a, b) })
	done.Go(func() { c.copy(b, a) })
	done.Wait()
	a.Close()
	b.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (c *pair) copy(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if c.silent.Load() {
			if err != nil {
				return // the other side isn't told
			}
			continue
		}
		if n > 0 {
			c.waiting.Store(from == c.a)
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// silence makes the open connections on which a call waits go silent for good and returns how many there were, of how many open ones.
func (p *proxy) silence() (silenced, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.waiting.Load() {
			c.silent.Store(true)
			silenced++
		}
	}
	return silenced, len(p.conns)
}
