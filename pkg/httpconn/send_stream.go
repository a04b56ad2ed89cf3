package httpconn

import (
	"errors"
	"io"
	"os"
	"time"
)

// call calls f if it isn't nil.
func call(f func()) {
	if f != nil {
		f()
	}
}

// awaitContinue waits for the first byte of an answer, and begins the streamed body if none arrives in req.ContinueWait. The connection has
// no other read deadline than this one and that of an ended context.
func (x *exchange) awaitContinue(req *Request) error {
	x.setReadDeadline(time.Now().Add(req.ContinueWait))
	_, err := x.conn.br.Peek(1)
	x.setReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) && x.ctx.Err() == nil {
		x.beginStream(req)
		return nil
	}
	return err
}

// setReadDeadline sets the connection's read deadline, unless the context has ended, which ends all reads.
func (x *exchange) setReadDeadline(t time.Time) {
	_ = x.conn.raw.SetReadDeadline(t) // fails only on a closed connection, whose reads end as well
	if x.ctx.Err() != nil {
		_ = x.conn.raw.SetDeadline(time.Unix(1, 0)) // as above
	}
}

// beginStream starts sending the streamed body in a goroutine; the answer may arrive meanwhile.
func (x *exchange) beginStream(req *Request) {
	call(req.StreamBegins)
	x.stream = make(chan error, 1)
	go x.sendStream(req)
}

// streamSource is a streamed body that keeps the error of reading it.
type streamSource struct {
	io.Reader
	x   *exchange
	err error
}

// Read reads from the body.
func (s *streamSource) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	s.x.mu.Lock()
	defer s.x.mu.Unlock()
	s.x.limitWrite()
	return n, err
}

// maxAnsweredWrite bounds one write of a streamed body after the answer has begun. The other side may not read the rest any more.
const maxAnsweredWrite = time.Second

// limitWrite bounds a write in progress, and the next one, if the header of the answer has been read; x.mu must be held.
func (x *exchange) limitWrite() {
	if x.answered && x.stream != nil {
		_ = x.conn.raw.SetWriteDeadline(time.Now().Add(maxAnsweredWrite)) // fails only on a closed connection
	}
}

// sendStream sends a streamed body and puts the result into x.stream.
func (x *exchange) sendStream(req *Request) {
	var err error
	w, source := x.conn.bw, &streamSource{Reader: req.Stream, x: x}
	if req.StreamLength >= 0 {
		_, err = io.CopyN(w, source, req.StreamLength)
	} else {
		err = copyChunks(w, source)
	}
	if err == nil {
		err = w.Flush()
	}
	switch {
	case source.err != nil || errors.Is(err, io.EOF): // CopyN returns io.EOF if the body is too short
		x.endWithoutBody(err)
	case err != nil:
		x.closeWrite()
	}
	x.stream <- err
	if err != nil {
		_, _ = io.Copy(io.Discard, req.Stream) // a client may read no answer until its body was read
	}
}

// endWithoutBody ends the exchange since the body can't be read to its end, unless the header of the answer has been read.
func (x *exchange) endWithoutBody(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.bodyErr = err
	if x.answered {
		x.closeWrite()
		return
	}
	_ = x.conn.raw.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection, which is the goal
}

// closeWrite tells the other side that nothing more is sent: a server that waits for the rest of a body must learn that there is none, and an
// answer may still arrive. The connection isn't used again.
func (x *exchange) closeWrite() {
	if tcp, ok := x.conn.raw.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite() // the connection isn't used again in any case
	}
}

// noteAnswered notes that the header of an answer was read, or can't be, and returns why the body couldn't be read, if so.
func (x *exchange) noteAnswered() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answered = true
	x.limitWrite()
	if x.bodyErr != nil {
		x.setReadDeadline(time.Time{}) // the rest of an answer that came at the same moment can be read
	}
	return x.bodyErr
}
