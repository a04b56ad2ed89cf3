package httpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ErrorKind says how far an exchange came.
type ErrorKind uint8

// The kinds of error.
const (
	NotConnected ErrorKind = iota + 1 // no connection was made: nothing was sent
	NoAnswer                          // the request was sent, in whole or part, and no answer came
	Broken                            // what came is no answer, or only part of one
	Canceled                          // the context ended after the request was sent
)

// Error reports an exchange that gave no whole answer.
type Error struct {
	Kind  ErrorKind
	Cause error
}

// Error names how far the exchange came, and the cause.
func (e *Error) Error() string {
	kind := [...]string{"", "not connected", "no answer", "broken answer", "canceled"}[e.Kind]
	return fmt.Sprintf("%s: %v", kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Request is one request to be sent. Body is sent whole before an answer is awaited; Stream, of StreamLen
// bytes or chunked if that is below 0, is sent while the answer may already come.
type Request struct {
	Method    string
	URI       string // path and query, as they came
	Host      string
	Header    http.Header
	Body      []byte
	Stream    io.Reader
	StreamLen int64
}

// Response is an answer whose header was read. Its Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Length int64 // -1: not known
	Body   io.ReadCloser
}

// Do sends a request on a kept or new connection and reads the header of its answer. The connection goes
// back when the body has been read to its end. When ctx ends the connection is closed. The error is an *Error.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.get(ctx)
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
	return res, nil
}

// exchange is one request on a connection.
type exchange struct {
	conn   *Conn
	ctx    context.Context
	stop   func() bool
	kind   ErrorKind
	reuse  bool
	ended  bool
	stream chan error // the end of sending a streamed body; nil if there is none
}

func (x *exchange) run(req *Request) (*Response, error) {
	x.kind = NoAnswer
	if err := x.send(req); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(x.conn.br, &http.Request{Method: req.Method})
	for err == nil && res.StatusCode < 200 {
		res, err = http.ReadResponse(x.conn.br, &http.Request{Method: req.Method})
	}
	if err != nil {
		if !isTransport(err) {
			x.kind = Broken
		}
		return nil, err
	}
	// An answer that comes before a streamed body is sent leaves the rest of that body on the connection.
	x.reuse = x.stream == nil && !res.Close && res.ProtoAtLeast(1, 1)
	x.conn.keep = keepAlive(res.Header)
	x.kind = Broken
	return &Response{
		Status: res.StatusCode, Header: res.Header, Length: res.ContentLength,
		Body: &body{ReadCloser: res.Body, x: x},
	}, nil
}

// isTransport tells an ended or broken connection from bytes that aren't HTTP.
func isTransport(err error) bool {
	var n interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n)
}

func (x *exchange) send(req *Request) error {
	w := x.conn.bw
	fmtRequestLine(w, req)
	if err := req.Header.Write(w); err != nil {
		return err
	}
	switch {
	case req.Stream == nil:
		if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
			_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n") // Flush tells the error
		}
		_, _ = w.WriteString("\r\n") // as above
		_, _ = w.Write(req.Body)     // as above
		return w.Flush()
	case req.StreamLen >= 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(req.StreamLen, 10) + "\r\n\r\n") // as above
	default:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n") // as above
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.stream = make(chan error, 1)
	go x.sendStream(req)
	return nil
}

func fmtRequestLine(w io.StringWriter, req *Request) {
	for _, s := range [...]string{req.Method, " ", req.URI, " HTTP/1.1\r\nHost: ", req.Host, "\r\n"} {
		_, _ = w.WriteString(s) // a buffered writer keeps its error until Flush
	}
}

func (x *exchange) sendStream(req *Request) {
	var err error
	w := x.conn.bw
	if req.StreamLen >= 0 {
		_, err = io.CopyN(w, req.Stream, req.StreamLen)
	} else {
		err = copyChunks(w, req.Stream)
	}
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		// The client's body broke off, or the server doesn't read on: an answer may still come, but a
		// server that waits for the rest has to learn that there is none.
		if tcp, ok := x.conn.raw.(interface{ CloseWrite() error }); ok {
			_ = tcp.CloseWrite() // the connection isn't used again in any case
		}
	}
	x.stream <- err
}

func copyChunks(w io.Writer, r io.Reader) error {
	buf := make([]byte, bufferBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if _, werr := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, werr := io.WriteString(w, "0\r\n\r\n")
			return werr
		}
		if err != nil {
			return err
		}
	}
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

// body is an answer's body; its end gives the connection back.
type body struct {
	io.ReadCloser
	x *exchange
}

// Read reads the body; an error other than io.EOF is an *Error.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.x.finish()
		return n, io.EOF
	default:
		b.x.abandon()
		return n, b.x.explain(err)
	}
}

// Close gives the exchange up if the body wasn't read to its end.
func (b *body) Close() error {
	b.x.abandon()
	return nil
}
