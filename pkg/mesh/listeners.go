package mesh

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rockspoke/rockspoke/pkg/clientconns"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// newServers returns an HTTP server for each address in the settings.
func (n *Node) newServers(l settings.Listen, control http.Handler) []*http.Server {
	servers := []*http.Server{
		n.newPeerServer(l.Peers),
		n.newClientServer(l.Outbound),
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

// clientDescriptorShare is the share of the process's file descriptors for client connections; the rest is for the backend server, other nodes and
// the store. Above it the connections that have been idle longest are closed. Without a bound, clients that open a connection for each attempt
// and keep it can use up all descriptors; the node then reports that it is ready but accepts no connection until some have been idle for
// idleTimeout. With a bound of 20, all of 60 clients that keep their connections open are answered, and 20 connections remain.
const clientDescriptorShare = 0.5

// newClientServer returns the HTTP server for clients and the local backend server.
func (n *Node) newClientServer(addr string) *http.Server {
	s := n.newServer(addr, n.outboundHandler())
	n.clients.SetLimit(int(clientDescriptorShare * float64(clientconns.MaxDescriptors())))
	n.clients.OnEvicted = func(closed int) { n.metrics.add(int64(closed), "client_connections_closed_total") }
	s.ConnState = n.clients.TrackState
	n.servePipelined(s)
	return s
}

// listen binds a server's address and serves it in the background until it is closed.
func (n *Node) listen(s *http.Server) error {
	ln, err := n.network.listen(s.Addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", s.Addr)
	}
	n.startBackground(func() {
		if err := n.serve(s, ln); err != nil && !isListenerClosed(err) {
			n.controlLog.Error("listener ended", "address", s.Addr, "err", err)
		}
	})
	return nil
}

// serve serves a listener's connections.
func (n *Node) serve(s *http.Server, ln net.Listener) error {
	if n.pipelined != nil && n.pipelined.HTTP == s {
		return n.pipelined.Serve(ln)
	}
	return s.Serve(ln)
}

// isListenerClosed reports whether an error means that the listener was closed.
func isListenerClosed(err error) bool {
	return eris.Is(err, http.ErrServerClosed) || eris.Is(err, net.ErrClosed)
}

// Limits of inbound connections, where the desired state doesn't set them.
const (
	// headerTimeout bounds the time for reading a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection may be idle. Clients reuse theirs for up to four fifths of what the operator allows, so
	// this is well above.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
)

// notePanics has panics of the handler counted and logged; net/http then closes the connection without an answer.
func (n *Node) notePanics(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				n.metrics.count("panics_total")
				n.callLog.Error("panic", "request", r.Header.Get(n.names.AttemptID), "path", r.URL.Path, "value", fmt.Sprint(v), "stack", string(debug.Stack()))
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}

// newServer returns an HTTP server for an address with the limits of inbound connections.
func (n *Node) newServer(addr string, h http.Handler) *http.Server {
	return &http.Server{
		Addr: addr, Handler: n.notePanics(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.callLog.Handler(), slog.LevelDebug),
	}
}
