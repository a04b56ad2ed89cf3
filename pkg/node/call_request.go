package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// request is a call's content, buffered whole so that it can be sent again.
type request struct {
	method string
	host   string // without a port
	uri    string // path and query
	path   string
	header http.Header
	body   []byte
}

// RequestError reports a request that can't be served, with the HTTP status to return.
type RequestError struct {
	Status int
	Reason string
}

// Error gives the reason.
func (e *RequestError) Error() string { return fmt.Sprintf("request refused: %s", e.Reason) }

// readRequest reads a request with a body of at most limit bytes; the error is a *RequestError.
func readRequest(r *http.Request, limit int64) (*request, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	if err != nil {
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			return nil, &RequestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("body is longer than %d bytes", limit)}
		}
		return nil, &RequestError{http.StatusBadRequest, "body broke off"}
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	h := r.Header.Clone()
	wire.StripHopByHop(h)
	return &request{method: r.Method, host: host, uri: r.URL.RequestURI(), path: r.URL.Path, header: h, body: body}, nil
}

// match returns the fields by which routes and classes match the request.
func (q *request) match() config.Match {
	return config.Match{Host: q.host, Method: q.method, Path: q.path}
}

// callTreatment returns the treatment by the plan of a call from a backend server, whose host names the service, or nil if that doesn't exist.
func (q *request) callTreatment(p *config.Plan) *config.Treatment {
	return p.CallTreatment(q.host, q.match())
}

// signature returns a hash of the request's content and the service, by which retries are recognized.
func (q *request) signature(service string) uint64 {
	d := xxhash.New()
	for _, s := range []string{q.method, service, q.uri, q.header.Get(wire.HeaderIdempotencyKey)} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.body)
	return d.Sum64()
}

// validateKey checks a caller's idempotency key; the error is a *RequestError.
func validateKey(key string) error {
	if len(key) > wire.MaxKeyBytes {
		return &RequestError{http.StatusBadRequest, fmt.Sprintf("%s is longer than %d bytes", wire.HeaderIdempotencyKey, wire.MaxKeyBytes)}
	}
	if strings.ContainsFunc(key, func(c rune) bool { return c < ' ' || c > '~' }) {
		return &RequestError{http.StatusBadRequest, wire.HeaderIdempotencyKey + " must be printable ASCII"}
	}
	return nil
}
