package clientconns

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// recordingConn is a simulated connection that records whether it was closed.
type recordingConn struct {
	net.Conn
	closed bool
}

func (c *recordingConn) Close() error { c.closed = true; return nil }

// Above the limit idle connections are closed, the longest idle first; a connection with a request in progress never is.
func TestLongestIdleConnectionsAreClosedAboveTheLimit(t *testing.T) {
	c := qt.New(t)
	closed := 0
	x := Connections{OnEvicted: func(n int) { closed += n }}
	x.SetLimit(3)
	var conns []*recordingConn
	for range 5 {
		conns = append(conns, &recordingConn{})
	}
	for i, s := range []http.ConnState{http.StateIdle, http.StateActive, http.StateIdle} {
		x.TrackState(conns[i], http.StateNew)
		x.TrackState(conns[i], s)
	}
	x.TrackState(conns[0], http.StateActive)
	x.TrackState(conns[0], http.StateIdle) // idle again, so that the third one has been idle longest
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
	x.TrackState(&recordingConn{}, http.StateNew)
	c.Assert(closed, qt.Equals, 2, qt.Commentf("no connection is idle: none is closed"))
}
