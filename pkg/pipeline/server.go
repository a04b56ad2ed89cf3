package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Limits of connections.
const (
	// maxAhead is how many requests of a connection are served behind the first one. Browsers and load generators that pipeline send
	// fewer; more would let one connection take many slots.
	maxAhead = 16
	// maxBufferedAnswer bounds the bytes of an answer that wait for the answers before it; its handler's writes then block.
	maxBufferedAnswer = 64 << 10
	// maxBufferedAnswers bounds those bytes of all connections; above it each answer has minBufferedAnswer.
	maxBufferedAnswers = 16 << 20
	minBufferedAnswer  = 4 << 10
	// headerSlack is how many bytes net/http reads beyond MaxHeaderBytes before it rejects a header.
	headerSlack = 4 << 10
)

// Server serves pipelined requests of an http.Server's connections concurrently. Its fields must not be changed after Init.
type Server struct {
	// HTTP is the server for requests that aren't pipelined. Init replaces its Handler, ConnContext and ConnState.
	HTTP *http.Server
	// MayRunAhead, if set, reports whether a request for the host and request URI may run before earlier requests of its connection
	// are answered. It is called under a connection's lock. It takes no *http.Request, since the handler of the first request of
	// a connection may change that one meanwhile.
	MayRunAhead func(host, uri string) bool
	// OnPipelined, if set, is called for each request that is served while an earlier one of its connection isn't answered, with the client's
	// address and whether it is the connection's first. It is called under a connection's lock.
	OnPipelined func(client net.Addr, first bool)

	ahead    *http.Server
	answers  answerListener
	buffered atomic.Int64 // bytes of answers that wait for the answers before them
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// aheadKey is the context key that requests have which run ahead.
type aheadKey struct{}

// RunsAhead reports whether the request with the context runs before earlier ones of its connection are answered.
func RunsAhead(ctx context.Context) bool { return ctx.Value(aheadKey{}) != nil }

// Init installs the server's hooks in HTTP.
func (s *Server) Init() {
	h := s.HTTP
	handler, connContext, connState := h.Handler, h.ConnContext, h.ConnState
	s.answers.init()
	s.ahead = &http.Server{
		Handler: handler, ReadHeaderTimeout: h.ReadHeaderTimeout, MaxHeaderBytes: h.MaxHeaderBytes, ErrorLog: h.ErrorLog,
		BaseContext: h.BaseContext,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			if connContext != nil {
				ctx = connContext(ctx, nc)
			}
			return context.WithValue(ctx, aheadKey{}, true)
		},
	}
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.beginRequest(r)
			defer c.endRequest()
		}
		handler.ServeHTTP(w, r)
	})
	h.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
	h.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && c.hidesState(state) {
			return
		}
		if connState != nil {
			connState(nc, state)
		}
	}
}

// Serve serves the listener's connections until it or HTTP is closed.
func (s *Server) Serve(ln net.Listener) error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.ahead.Serve(&s.answers) // it ends only when the listener below is closed, which HTTP.Serve does when it returns
	}()
	err := s.HTTP.Serve(&listener{Listener: ln, s: s})
	<-ended
	return err
}

// mayRunAhead reports whether a request for the host and request URI may run before earlier ones are answered.
func (s *Server) mayRunAhead(host, uri string) bool {
	return s.MayRunAhead == nil || s.MayRunAhead(host, uri)
}

// maxHeld returns how many bytes of waiting requests a connection keeps: enough that net/http rejects a header above its limit.
func (s *Server) maxHeld() int {
	n := s.HTTP.MaxHeaderBytes
	if n <= 0 {
		n = http.DefaultMaxHeaderBytes
	}
	return n + headerSlack
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	s *Server
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(l.s, nc), nil
}

// Close closes the listener and ends all requests that run ahead.
func (l *listener) Close() error {
	_ = l.s.ahead.Close() // closing connections in memory returns no error
	return l.Listener.Close()
}
