package mesh

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// restingConn is a connection that tells whether it was closed.
type restingConn struct {
	net.Conn
	closed bool
}

func (c *restingConn) Close() error { c.closed = true; return nil }

// Above the bound connections that carry nothing are closed, those that rested longest first; one that carries a request never is.
func TestConnectionsThatRestMakeRoomForNewOnes(t *testing.T) {
	c := qt.New(t)
	closed := 0
	x := clientConnections{most: 3, closed: func(n int) { closed += n }}
	var conns []*restingConn
	for range 5 {
		conns = append(conns, &restingConn{})
	}
	for i, s := range []http.ConnState{http.StateIdle, http.StateActive, http.StateIdle} {
		x.follow(conns[i], http.StateNew)
		x.follow(conns[i], s)
	}
	x.follow(conns[0], http.StateActive)
	x.follow(conns[0], http.StateIdle) // it rests anew: the third one has rested longest
	x.follow(conns[3], http.StateNew)
	c.Assert(conns[2].closed, qt.IsTrue)
	c.Assert(conns[0].closed, qt.IsFalse)
	x.follow(conns[4], http.StateNew)
	c.Assert(conns[0].closed, qt.IsTrue)
	c.Assert(conns[1].closed, qt.IsFalse)
	x.follow(conns[0], http.StateClosed)
	x.follow(conns[2], http.StateClosed)
	c.Assert(x.open, qt.HasLen, 3)
	c.Assert(closed, qt.Equals, 2)
	x.follow(&restingConn{}, http.StateNew)
	c.Assert(closed, qt.Equals, 2, qt.Commentf("nothing rests: none is closed"))
}

// Clients that keep their connections open don't keep others out.
func TestANodeTakesNewConnectionsWhileManyRest(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	n := s.nodes[0]
	n.clients.mu.Lock()
	n.clients.most = 20
	n.clients.mu.Unlock()
	for range 60 {
		kept := &http.Client{Transport: &http.Transport{}}
		defer kept.CloseIdleConnections()
		all := s.clients
		s.clients = kept
		status, _, _ := s.ask(0, http.MethodGet, "/read/x", "q", defaultTimeLeft)
		s.clients = all
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	n.clients.mu.Lock()
	defer n.clients.mu.Unlock()
	c.Assert(len(n.clients.open) <= 20, qt.IsTrue, qt.Commentf("%d open", len(n.clients.open)))
}
