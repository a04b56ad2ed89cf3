package clientconns

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sys/unix"
)

// Connections are the open connections of clients. Its zero value has none and no bound.
type Connections struct {
	// OnEvicted is told how many were closed to make room, if set; it must not be changed once connections come.
	OnEvicted func(n int)

	mu      sync.Mutex
	most    int                        // 0: no bound
	open    map[net.Conn]*list.Element // in resting, or nil while it carries a request
	resting list.List                  // of net.Conn, the longest first
}

// MaxDescriptors returns how many descriptors the process may have open, 0 if that isn't known.
func MaxDescriptors() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > 1<<31 {
		return 0
	}
	return int(l.Cur)
}

// SetLimit bounds how many may be open; 0: no bound.
func (c *Connections) SetLimit(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = n
}

// OpenCount returns how many are open.
func (c *Connections) OpenCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// TrackState takes how a connection stands, as http.Server.ConnState tells it.
func (c *Connections) TrackState(conn net.Conn, s http.ConnState) {
	for _, old := range c.note(conn, s) {
		_ = old.Close() // it carries nothing
	}
}

// note notes it, and returns the connections that have to go.
func (c *Connections) note(conn net.Conn, s http.ConnState) []net.Conn {
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
func (c *Connections) beyond() []net.Conn {
	var out []net.Conn
	for c.most > 0 && len(c.open) > c.most && c.resting.Len() > 0 {
		conn := c.resting.Remove(c.resting.Front()).(net.Conn)
		delete(c.open, conn)
		out = append(out, conn)
	}
	if len(out) > 0 && c.OnEvicted != nil {
		c.OnEvicted(len(out))
	}
	return out
}
