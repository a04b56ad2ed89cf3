package httpconn

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/headerpack"
)

// Request is one request to be sent. Body is sent whole before an answer is awaited; Stream, of StreamLen
// bytes or chunked if that is below 0, is sent while the answer may already come.
type Request struct {
	Method       string
	URI          string // path and query, as they came
	Host         string
	Header       http.Header
	PackHeader   bool // the header is sent packed, to a daemon that unpacks it and packs that of its answer
	Body         []byte
	Stream       io.Reader
	StreamLength int64
	// ReceivedSince has the request sent on a connection on which an answer came later than that, or a new one; zero: on any.
	ReceivedSince time.Time
	// ExpectedResponseTime is the time in which its answer can be expected. Where nothing comes for that long, the connections that rest may have gone silent
	// with its own: the next request goes on a new one, and they are closed. 0: nothing is made of it.
	ExpectedResponseTime time.Duration
}

// Response is an answer whose header was read. Its Body must be closed.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1: not known
	Body          io.ReadCloser
}

// Do sends a request on a kept or new connection and reads the header of its answer. The connection goes
// back when the body has been read to its end. When ctx ends the connection is closed. The error is an *Error.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.get(ctx, latest(req.ReceivedSince, p.sending(req.ExpectedResponseTime)))
	if err != nil {
		return nil, err
	}
	x := &exchange{conn: c, ctx: ctx}
	x.stop = context.AfterFunc(ctx, func() {
		_ = c.raw.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection, which is what is wanted
	})
	res, err := x.run(req)
	if err != nil {
		x.abandon()
		return nil, x.explain(err)
	}
	p.heard()
	return res, nil
}

// exchange is one request on a connection.
type exchange struct {
	conn   *conn
	ctx    context.Context
	stop   func() bool
	kind   ErrorKind
	reuse  bool
	ended  bool
	stream chan error // the end of sending a streamed body; nil if there is none
}

// run sends the request and reads the header of its answer.
func (x *exchange) run(req *Request) (*Response, error) {
	x.kind = NoAnswer
	if err := x.send(req); err != nil {
		return nil, err
	}
	res, err := x.readHeader(req.Method)
	if err != nil {
		if !isTransport(err) {
			x.kind = BrokenAnswer
		}
		return nil, err
	}
	if err := x.unpack(res.Header); err != nil {
		x.kind = BrokenAnswer
		return nil, err
	}
	// An answer that comes before a streamed body is sent leaves the rest of that body on the connection.
	x.reuse = x.stream == nil && !res.Close && res.ProtoAtLeast(1, 1)
	x.conn.keep = keepAlive(res.Header)
	x.kind = BrokenAnswer
	return &Response{
		Status: res.StatusCode, Header: res.Header, ContentLength: res.ContentLength,
		Body: &body{ReadCloser: res.Body, x: x},
	}, nil
}

// readHeader reads the header of the final answer; those of status 1xx go before it.
func (x *exchange) readHeader(method string) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(x.conn.br, &http.Request{Method: method})
		if err != nil || res.StatusCode >= http.StatusOK {
			return res, err
		}
	}
}

// unpack adds the packed headers of an answer to the others.
func (x *exchange) unpack(h http.Header) error {
	text := h.Get(headerpack.HeaderName)
	if text == "" {
		return nil
	}
	packed, err := x.conn.unpacker.Unpack(text)
	if err != nil {
		return err
	}
	delete(h, headerpack.HeaderName)
	maps.Copy(h, packed)
	return nil
}

// isTransport tells an ended or broken connection from bytes that aren't HTTP.
func isTransport(err error) bool {
	var n interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n)
}

// keepAlive returns the time in a Keep-Alive header, or 0.
func keepAlive(h http.Header) time.Duration {
	v := h.Get("Keep-Alive")
	if v == "" {
		return 0
	}
	for part := range strings.SplitSeq(v, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// explain turns a fault into an *Error that tells whether ctx caused it.
func (x *exchange) explain(err error) error {
	if x.ctx.Err() != nil {
		return &Error{Kind: Canceled, Cause: x.ctx.Err()}
	}
	return &Error{Kind: x.kind, Cause: err}
}

// abandon closes the connection.
func (x *exchange) abandon() {
	if x.ended {
		return
	}
	x.ended = true
	x.stop()
	x.conn.Close()
}

// finish puts the connection back if it can carry another request.
func (x *exchange) finish() {
	if x.ended {
		return
	}
	if !x.stop() || !x.reuse || x.conn.br.Buffered() > 0 {
		x.abandon()
		return
	}
	x.ended = true
	x.conn.pool.put(x.conn)
}
