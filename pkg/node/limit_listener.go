package node

import (
	"net"
	"sync"
)

// limitListener limits its open connections to its slots; further ones wait in the kernel's accept queue.
type limitListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
}

// newLimitListener limits a listener to maxConns open connections.
func newLimitListener(ln net.Listener, maxConns int) net.Listener {
	return &limitListener{Listener: ln, slots: make(chan struct{}, maxConns), done: make(chan struct{})}
}

// Accept waits for a free slot and then for a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitConn{Conn: c, release: func() { <-l.slots }}, nil
}

// Close stops the listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitConn is a connection that holds a slot of its listener.
type limitConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and frees its slot once.
func (c *limitConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
