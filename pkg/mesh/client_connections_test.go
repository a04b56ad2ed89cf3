package mesh

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Clients that keep their connections open don't keep others out.
func TestANodeTakesNewConnectionsWhileManyRest(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	n := s.nodes[0]
	n.clientConns.SetMost(20)
	for range 60 {
		kept := &http.Client{Transport: &http.Transport{}}
		defer kept.CloseIdleConnections()
		all := s.clients
		s.clients = kept
		status, _, _ := s.ask(0, http.MethodGet, "/read/x", "q", defaultTimeLeft)
		s.clients = all
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	c.Assert(n.clientConns.Open() <= 20, qt.IsTrue, qt.Commentf("%d open", n.clientConns.Open()))
}
