package clientconns

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sys/unix"
)

// Connections tracks the open connections of clients. Its zero value has none and no limit; it is safe for concurrent use.
type Connections struct {
	// OnEvicted, if set, is called with the number of connections that are closed because of the limit. It runs
	// under the lock, so it must not call methods of Connections. It must not be changed after the first TrackState.
	OnEvicted func(n int)

	mu    sync.Mutex
	limit int                        // 0 means no limit
	open  map[net.Conn]*list.Element // its element in idle, or nil while it isn't idle
	idle  list.List                  // of net.Conn, the longest idle first
}

// MaxDescriptors returns the number of file descriptors that the process may have open, or 0 if it isn't known.
func MaxDescriptors() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > 1<<31 {
		return 0
	}
	return int(l.Cur)
}

// SetLimit sets the maximum of open connections; 0 means no limit. It closes no connections; the next TrackState does.
func (c *Connections) SetLimit(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = n
}

// OpenCount returns the number of open connections.
func (c *Connections) OpenCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// TrackState records a connection's new state and closes idle connections above the limit; it is an http.Server.ConnState hook.
func (c *Connections) TrackState(conn net.Conn, s http.ConnState) {
	for _, old := range c.record(conn, s) {
		_ = old.Close() // an error doesn't matter: it carries no request
	}
}

// record stores a connection's new state and returns the connections to close.
func (c *Connections) record(conn net.Conn, s http.ConnState) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[net.Conn]*list.Element)
	}
	if e := c.open[conn]; e != nil {
		c.idle.Remove(e)
	}
	switch s {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
		return nil
	case http.StateIdle:
		c.open[conn] = c.idle.PushBack(conn)
	default:
		c.open[conn] = nil
	}
	return c.removeExcess()
}

// removeExcess removes the longest idle connections above the limit and returns them; c.mu is held.
func (c *Connections) removeExcess() []net.Conn {
	var out []net.Conn
	for c.limit > 0 && len(c.open) > c.limit && c.idle.Len() > 0 {
		conn := c.idle.Remove(c.idle.Front()).(net.Conn)
		delete(c.open, conn)
		out = append(out, conn)
	}
	if len(out) > 0 && c.OnEvicted != nil {
		c.OnEvicted(len(out))
	}
	return out
}
