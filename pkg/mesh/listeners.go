package mesh

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rockspoke/rockspoke/pkg/clientconns"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// newServers returns a server for each address that the settings name.
func (n *Node) newServers(l settings.Listen, control http.Handler) []*http.Server {
	servers := []*http.Server{
		n.newPeerServer(l.Peers),
		n.clientServer(l.Outbound),
		n.newServer(l.Control, control),
	}
	if l.Ready != l.Control {
		servers = append(servers, n.newServer(l.Ready, control))
	}
	if l.Metrics != "" {
		servers = append(servers, n.newServer(l.Metrics, n.operatorsHandler()))
	}
	return servers
}

// clientShare of the descriptors that the process may have open are for connections of clients; the rest is for the backend server's, other nodes' and the
// store's. Above it those that rested longest are closed. Without a bound a flood of clients that open a connection for each try, and keep it,
// takes all descriptors, and a node that says it is ready takes no new connection until some have rested for idleTime. With a bound of 20, of 60 clients that keep
// theirs open all are answered and 20 connections stay (test on loopback).
const clientShare = 0.5

// clientServer returns the server for clients and the backend server on this VM.
func (n *Node) clientServer(addr string) *http.Server {
	s := n.newServer(addr, n.outboundHandler())
	n.clients.SetMost(int(clientShare * float64(clientconns.MaxDescriptors())))
	n.clients.Closed = func(closed int) { n.metrics.add(int64(closed), "client_connections_closed_total") }
	s.ConnState = n.clients.Follow
	return s
}

// listen binds a server's address and serves it until it is closed.
func (n *Node) listen(s *http.Server) error {
	ln, err := n.network.listen(s.Addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", s.Addr)
	}
	n.run(func() {
		if err := s.Serve(ln); err != nil && !isClosed(err) {
			n.controlLog.Error("listener ended", "address", s.Addr, "err", err)
		}
	})
	return nil
}

// isClosed tells whether a listener ended since it was closed.
func isClosed(err error) bool {
	return eris.Is(err, http.ErrServerClosed) || eris.Is(err, net.ErrClosed)
}

// The bounds of inbound connections, where the desired state doesn't set them.
const (
	// headerTime is the longest time for a request's header.
	headerTime = 5 * time.Second
	// idleTime is how long a kept connection may rest: clients use theirs again after four fifths of what
	// the operator allows, so this is well above.
	idleTime = 90 * time.Second
	// headerBytes bounds a request's header.
	headerBytes = 64 << 10
)

func (n *Node) newServer(addr string, h http.Handler) *http.Server {
	return &http.Server{
		Addr: addr, Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(n.callLog.Handler(), slog.LevelDebug),
	}
}
