package mesh

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Clients that keep idle connections open don't keep others out.
func TestNodeAcceptsNewConnectionsWhileManyAreIdle(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	n := s.nodes[0]
	n.clients.SetLimit(20)
	for range 60 {
		persistent := &http.Client{Transport: &http.Transport{}}
		defer persistent.CloseIdleConnections()
		all := s.clients
		s.clients = persistent
		status, _, _ := s.request(0, http.MethodGet, "/read/x", "q", defaultTimeLeft)
		s.clients = all
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	c.Assert(n.clients.OpenCount() <= 20, qt.IsTrue, qt.Commentf("%d open", n.clients.OpenCount()))
}
