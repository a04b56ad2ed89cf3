package clientconns

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
	x := Connections{OnEvicted: func(n int) { closed += n }}
	x.SetLimit(3)
	var conns []*restingConn
	for range 5 {
		conns = append(conns, &restingConn{})
	}
	for i, s := range []http.ConnState{http.StateIdle, http.StateActive, http.StateIdle} {
		x.TrackState(conns[i], http.StateNew)
		x.TrackState(conns[i], s)
	}
	x.TrackState(conns[0], http.StateActive)
	x.TrackState(conns[0], http.StateIdle) // it rests anew: the third one has rested longest
	x.TrackState(conns[3], http.StateNew)
	c.Assert(conns[2].closed, qt.IsTrue)
	c.Assert(conns[0].closed, qt.IsFalse)
	x.TrackState(conns[4], http.StateNew)
	c.Assert(conns[0].closed, qt.IsTrue)
	c.Assert(conns[1].closed, qt.IsFalse)
	x.TrackState(conns[0], http.StateClosed)
	x.TrackState(conns[2], http.StateClosed)
	c.Assert(x.OpenCount(), qt.Equals, 3)
	c.Assert(closed, qt.Equals, 2)
	x.TrackState(&restingConn{}, http.StateNew)
	c.Assert(closed, qt.Equals, 2, qt.Commentf("nothing rests: none is closed"))
}
