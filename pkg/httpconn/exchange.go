package httpconn

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/headerpack"
)

// Request is one request to send. Body is sent completely before the answer is read. Stream, which has StreamLength bytes
// or is sent chunked if that is negative, is sent while the answer is read. If it can't be sent to its end, the rest is read and dropped, until
// Stream returns an error.
type Request struct {
	Method       string
	URI          string // path and query, as received
	Host         string
	Header       http.Header
	Fields       []headerpack.Field // further headers, which replace those of the same canonical name in Header
	PackHeader   bool               // the headers are sent packed, to a node that unpacks them and packs those of its answer
	Body         []byte
	Stream       io.Reader
	StreamLength int64
	// ContinueWait, if above 0, sends "Expect: 100-continue" with a Stream: nothing of it is read or sent until the other side asks for it,
	// or this time has passed without any answer. A final answer that comes before ends the exchange, and Stream is untouched.
	ContinueWait time.Duration
	Continued    func() // called when the other side asks for Stream; may be nil
	StreamBegins func() // called before anything of Stream is read; may be nil
	// ReceivedSince restricts the request to a connection that has received an answer since that time, or a new one; the zero
	// time allows any.
	ReceivedSince time.Time
	// ExpectedResponseTime is the time within which the answer is expected. If no answer arrives in it, the idle connections
	// may be unresponsive too: they are closed, and the next request goes on a new one. 0 disables this.
	ExpectedResponseTime time.Duration
	// Aborter, if set, can end Do before it returns.
	Aborter *Aborter
}

// Response is an answer whose headers have been read. Its Body must be closed.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1 if unknown
	Body          io.ReadCloser

	x *exchange
}

// KeepSending has the rest of a streamed body sent after the answer has ended. Otherwise the connection is closed then.
func (r *Response) KeepSending() { r.x.keepSending = true }

// Do sends a request on an idle or new connection and reads the headers of its answer. The connection goes back to the
// pool when the body has been read to its end. When ctx ends, the connection is closed. The error is an *Error.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.acquire(ctx, latest(req.ReceivedSince, p.recordSend(req.ExpectedResponseTime)), req.Aborter)
	if err != nil {
		return nil, err
	}
	interrupt := func() {
		_ = c.raw.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection, which is the goal
	}
	x := &exchange{conn: c, ctx: ctx, stop: afterFunc(ctx, interrupt)}
	req.Aborter.onAbort(interrupt)
	defer req.Aborter.onAbort(nil)
	res, err := x.run(req)
	if err != nil {
		x.abandon()
		return nil, x.wrapError(err)
	}
	p.recordAnswer()
	return res, nil
}

// afterFunc is context.AfterFunc, except that it needs no context of its own if ctx can call f itself.
func afterFunc(ctx context.Context, f func()) (stop func() bool) {
	if c, ok := ctx.(interface{ AfterFunc(f func()) func() bool }); ok {
		return c.AfterFunc(f)
	}
	return context.AfterFunc(ctx, f)
}

// exchange is one request on a connection.
type exchange struct {
	conn  *conn
	ctx   context.Context
	stop  func() bool
	kind  ErrorKind
	reuse bool
	ended bool
	// keepSending has a streamed body sent to its end after the answer has ended.
	keepSending bool
	stream      chan error // gets the result of sending a streamed body; nil if sending hasn't begun

	mu       sync.Mutex
	answered bool  // the header of the answer has been read
	bodyErr  error // why a streamed body couldn't be read to its end
}

// run sends the request and reads the headers of its answer; on an error x.kind says how far the exchange came.
func (x *exchange) run(req *Request) (*Response, error) {
	x.kind = NoAnswer
	if err := x.send(req); err != nil {
		return nil, err
	}
	if req.Stream != nil && x.stream == nil {
		if err := x.awaitContinue(req); err != nil {
			return nil, err
		}
	}
	res, err := x.readHeader(req)
	if bodyErr := x.noteAnswered(); err != nil && bodyErr != nil {
		x.kind = BrokenBody
		return nil, bodyErr
	}
	if err != nil {
		if !isConnectionError(err) {
			x.kind = BrokenAnswer
		}
		return nil, err
	}
	if req.PackHeader {
		if err := x.unpack(res.Header); err != nil {
			x.kind = BrokenAnswer
			return nil, err
		}
	}
	x.reuse = (req.Stream == nil || x.stream != nil) && !res.Close && res.ProtoAtLeast(1, 1)
	x.conn.serverIdleTimeout = keepAliveTimeout(res.Header)
	x.kind = BrokenAnswer
	return &Response{
		Status: res.StatusCode, Header: res.Header, ContentLength: res.ContentLength,
		Body: &body{ReadCloser: res.Body, x: x}, x: x,
	}, nil
}

// readHeader reads the headers of the final answer; it skips interim answers, of which 100 begins a streamed body.
func (x *exchange) readHeader(req *Request) (*http.Response, error) {
	x.conn.in.begin()
	defer x.conn.in.end()
	for {
		if res := readSimple(x.conn.br, req.Method); res != nil {
			return res, nil
		}
		res, err := http.ReadResponse(x.conn.br, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
		if err := CheckStatus(res.StatusCode); err != nil {
			return nil, err
		}
		if res.StatusCode == http.StatusContinue && req.Stream != nil && x.stream == nil {
			x.conn.pool.recordAnswer()
			call(req.Continued)
			x.beginStream(req)
		}
	}
}

// unpack replaces the packed header of an answer by the headers in it.
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

// isConnectionError reports whether err is a closed or broken connection, rather than bytes that aren't HTTP.
func isConnectionError(err error) bool {
	var n interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n)
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, or 0 if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
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

// wrapError returns err as an *Error: of kind Canceled if ctx has ended, otherwise of kind x.kind.
func (x *exchange) wrapError(err error) error {
	if x.ctx.Err() != nil {
		return &Error{Kind: Canceled, Cause: x.ctx.Err()}
	}
	return &Error{Kind: x.kind, Cause: err}
}

// abandon closes the connection, unless the exchange has ended.
func (x *exchange) abandon() {
	if x.ended {
		return
	}
	x.ended = true
	x.stop()
	x.conn.Close()
}

// finish puts the connection back into the pool if it can be reused, and otherwise closes it. It does so later if the rest of a streamed
// body is still to be sent.
func (x *exchange) finish() {
	if x.ended {
		return
	}
	if !x.stop() {
		x.abandon()
		return
	}
	x.ended = true
	if x.stream == nil {
		x.release(true)
		return
	}
	select {
	case err := <-x.stream:
		x.release(err == nil)
	default:
		if !x.keepSending {
			x.release(false)
			return
		}
		go func() { x.release(<-x.stream == nil) }()
	}
}

// release puts the connection back into the pool if it can be reused, and otherwise closes it; sent reports whether the request was sent to its end.
func (x *exchange) release(sent bool) {
	if !sent || !x.reuse || x.conn.br.Buffered() > 0 {
		x.conn.Close()
		return
	}
	if x.stream != nil {
		_ = x.conn.raw.SetWriteDeadline(time.Time{}) // fails only on a closed connection, which isn't reused
	}
	x.conn.pool.putIdle(x.conn)
}
