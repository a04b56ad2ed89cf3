package mesh

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// newServers returns a server for each address that the settings name.
func (n *Node) newServers(l settings.Listen, control http.Handler) []*http.Server {
	servers := []*http.Server{
		n.peerServer(l.Peers),
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

// clientServer returns the server for clients and the backend server on this VM.
func (n *Node) clientServer(addr string) *http.Server {
	s := n.newServer(addr, n.outboundHandler())
	n.clients.most = int(clientShare * float64(maxDescriptors()))
	n.clients.closed = func(closed int) { n.metrics.add(int64(closed), "client_connections_closed_total") }
	s.ConnState = n.clients.follow
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
