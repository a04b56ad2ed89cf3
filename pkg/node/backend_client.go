package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rockspoke/rockspoke/pkg/httpconn"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// backendIdleTimeout is the time after which an unused connection to the backend server is closed.
const backendIdleTimeout = 30 * time.Second

// maxAnswerHeaderBytes bounds the header of an answer of the local backend server or another daemon, with its interim answers.
const maxAnswerHeaderBytes = 64 << 10

// newBackendTransport returns the HTTP transport to the local backend server.
func (n *Node) newBackendTransport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			conn, err := n.network.DialBackend(ctx, addr)
			if err != nil {
				return nil, err
			}
			return httpconn.DetectReset(conn), nil
		},
		MaxIdleConnsPerHost:    1024,
		IdleConnTimeout:        backendIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

// nonRewindableBody is a request body that the HTTP client can't rewind. With a rewindable or empty body, the client would
// send a request with an Idempotency-Key a second time when a keep-alive connection breaks.
type nonRewindableBody struct {
	data []byte
}

// Read reads the rest of the body.
func (r *nonRewindableBody) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	c := copy(p, r.data)
	r.data = r.data[c:]
	return c, nil
}

// Close does nothing.
func (r *nonRewindableBody) Close() error { return nil }

// callBackend sends a call to the local backend server. Once it has a connection, the call counts as possibly run.
func (n *Node) callBackend(ctx context.Context, in *inbound, q *request) *answer {
	u := &url.URL{Scheme: "http", Host: n.cfg.Backend.Address}
	req, err := http.NewRequestWithContext(ctx, q.method, u.String()+q.uri, &nonRewindableBody{data: q.body})
	if err != nil {
		return notRunAnswer(wire.ReasonBadRequest, 0).withCause(err)
	}
	req.ContentLength = int64(len(q.body))
	req.Header = q.header.Clone()
	wire.StripInternal(req.Header)
	req.Header.Set(wire.HeaderRequest, in.id)
	if in.call.Key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, in.call.Key)
	}
	req.Host = q.host
	resp, err := n.backend.RoundTrip(req)
	if err != nil {
		return backendErrorAnswer(err)
	}
	if err := httpconn.CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close() // what follows belongs to no answer
		return unknownAnswer(wire.ReasonAnswerLost).withCause(err)
	}
	a := &answer{meta: wire.Answer{Outcome: wire.Ran}, status: resp.StatusCode, header: resp.Header}
	n.heedBackendHeaders(resp.Header)
	wire.StripHopByHop(a.header)
	wire.StripInternal(a.header)
	if err := a.readBody(resp.Body); err != nil {
		return unknownAnswer(wire.ReasonAnswerLost).withCause(err)
	}
	return a
}

// heedBackendHeaders applies what an answer of the local backend server says of the server itself.
func (n *Node) heedBackendHeaders(h http.Header) {
	leaving, err := wire.BackendHeaders.ParseLeaving(h)
	if err != nil {
		n.log.leave.Warn("invalid header of the backend server", "err", err)
	}
	if leaving {
		n.Leave("backend server drains")
	}
}

// backendErrorAnswer returns "not run" if no connection was made, else "unknown", since the answer was lost.
func backendErrorAnswer(err error) *answer {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notRunAnswer(wire.ReasonServerRefused, 0).withCause(err)
	}
	return unknownAnswer(wire.ReasonAnswerLost).withCause(err)
}

// isServerRefusal tells whether the answer is the backend server's documented refusal: status 503 or 429 with a
// Retry-After header.
func isServerRefusal(a *answer) bool {
	if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
		return false
	}
	return a.header.Get(headerRetryAfter) != ""
}
