package mesh

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sys/unix"
)

// clientShare of the descriptors that the process may have open are for connections of clients; the rest is for the backend server's, other nodes' and the
// store's. Above it those that rested longest are closed. Without a bound a flood of clients that open a connection for each try, and keep it,
// takes all descriptors, and a node that says it is ready takes no new connection until some have rested for idleTime. With a bound of 20, of 60 clients that keep
// theirs open all are answered and 20 connections stay (test on loopback).
const clientShare = 0.5

// clientConnections are the open connections of clients. Its zero value has none and no bound.
type clientConnections struct {
	most int // 0: no bound

	mu      sync.Mutex
	open    map[net.Conn]*list.Element // in resting, or nil while it carries a request
	resting list.List                  // of net.Conn, the longest first
	closed  func(n int)                // told how many were closed, if set
}

// maxDescriptors returns how many descriptors the process may have open, 0 if that isn't known.
func maxDescriptors() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > 1<<31 {
		return 0
	}
	return int(l.Cur)
}

// follow takes how a connection stands, as http.Server.ConnState tells it.
func (c *clientConnections) follow(conn net.Conn, s http.ConnState) {
	for _, old := range c.note(conn, s) {
		_ = old.Close() // it carries nothing
	}
}

// note notes it, and returns the connections that have to go.
func (c *clientConnections) note(conn net.Conn, s http.ConnState) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[net.Conn]*list.Element)
	}
	if e := c.open[conn]; e != nil {
		c.resting.Remove(e)
	}
	switch s {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
		return nil
	case http.StateIdle:
		c.open[conn] = c.resting.PushBack(conn)
	default:
		c.open[conn] = nil
	}
	return c.beyond()
}

// beyond takes out those that rested longest while there are too many; c.mu is held.
func (c *clientConnections) beyond() []net.Conn {
	var out []net.Conn
	for c.most > 0 && len(c.open) > c.most && c.resting.Len() > 0 {
		conn := c.resting.Remove(c.resting.Front()).(net.Conn)
		delete(c.open, conn)
		out = append(out, conn)
	}
	if len(out) > 0 && c.closed != nil {
		c.closed(len(out))
	}
	return out
}
