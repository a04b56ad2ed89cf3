package mesh

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/httpconn"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Limits of request bodies.
const (
	// bodyStallTime is how long a body may be without a further byte before its request ends: a slot at the server and a buffer are held
	// for it meanwhile. Packets that are lost within a zone or between zones are sent again in a fifth of it.
	bodyStallTime = time.Second
	// stallPrecision is by how much less that time may be, so that the deadline of a connection isn't set at each of many short reads.
	stallPrecision = 10 * time.Millisecond
	// continueWait is how long a node waits for the other one to ask for a long body or to refuse the request, before it sends the body
	// anyway. Requests that get a slot at a gate rarely wait longer; without a limit, a node that never asks would get no body.
	continueWait = time.Second
	// maxHeldBodyBytes bounds the bytes of request bodies that a node holds, and those of answers. The smallest VMs have 184 MB for the node,
	// the backend server and the system.
	maxHeldBodyBytes = 32 << 20
	// streamBufferBytes is the size of the buffer through which a long body is copied; it is that of io.Copy.
	streamBufferBytes = 32 << 10
)

// expectContinue is the value of the Expect header with which a node sends a long body to another node only after its gate.
const expectContinue = "100-continue"

var errBodyBytes = errors.New("too many bytes of request bodies are held")

// byteBudget counts held bytes up to maxHeldBodyBytes; its zero value holds none.
type byteBudget struct{ held atomic.Int64 }

// take adds n bytes, or returns false if they would be too many.
func (b *byteBudget) take(n int64) bool {
	if b.held.Add(n) > maxHeldBodyBytes {
		b.held.Add(-n)
		return false
	}
	return true
}

// release removes n bytes.
func (b *byteBudget) release(n int64) { b.held.Add(-n) }

// bodyReader reads the body of a request from its connection. A read fails when the body stalls, and after the handler of the request has
// returned, when the connection may carry the next request.
type bodyReader struct {
	n       *Node
	q       *request
	body    io.Reader
	control *http.ResponseController

	mu       sync.Mutex
	ended    bool // the body was read to its end, failed, or the handler has returned
	reading  bool
	extended time.Time     // when the connection's read deadline was last set; zero: there is none
	done     chan struct{} // closed once the body was read to its end or failed; nil: it isn't read while the answer is written
}

// Read reads up to len(p) bytes.
func (b *bodyReader) Read(p []byte) (int, error) {
	if !b.extend() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.body.Read(p)
	b.finishRead(err)
	return n, err
}

// extend sets the connection's read deadline; it returns false if the body has ended.
func (b *bodyReader) extend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.reading = true
	now := b.n.clock.Now()
	if b.extended.IsZero() || now.Sub(b.extended) >= stallPrecision {
		b.extended = now
		b.setDeadline(time.Now().Add(max(min(bodyStallTime, b.q.clientDeadline.Sub(now)), 0)))
	}
	return true
}

// setDeadline sets the read deadline of the connection.
func (b *bodyReader) setDeadline(t time.Time) {
	_ = b.control.SetReadDeadline(t) // fails on a closed connection, whose reads fail as well
}

// pause removes the read deadline until the next read.
func (b *bodyReader) pause() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended && !b.extended.IsZero() {
		b.extended = time.Time{}
		b.setDeadline(time.Time{})
	}
}

// finishRead records how a read ended. After an error the deadline stays: net/http would otherwise wait for the rest of the body.
func (b *bodyReader) finishRead(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	if err == nil || b.ended {
		return
	}
	b.ended = true
	if b.done != nil {
		close(b.done)
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		b.setDeadline(time.Time{})
		return
	}
	cause := "broken"
	if errors.Is(err, os.ErrDeadlineExceeded) {
		cause = "stalled"
	}
	b.n.metrics.count("bodies_lost_total", "cause", cause)
	b.n.callLog.Info("request body lost", "request", b.q.id, "route", b.q.Route, "cause", cause, "err", err)
}

// close ends reading when the handler returns. net/http reads the rest of the body until the deadline, which a read in progress has set.
func (b *bodyReader) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.ended = true
		if !b.reading {
			b.setDeadline(time.Now().Add(bodyStallTime))
		}
	}
}

// sendDuringAnswer has the rest of the request's body sent to the server while the server's answer is written. Otherwise net/http would read
// some of the rest before it writes the header, and that part would be missing at the server. The connection isn't used again: net/http expects
// that the body is read to its end before that.
func (q *request) sendDuringAnswer(w http.ResponseWriter) {
	if q.sending.Load() && q.reader.startDuplex() {
		w.Header().Set("Connection", "close")
	}
}

// startDuplex lets the body be read while the answer is written; it returns false if the body has ended.
func (b *bodyReader) startDuplex() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.done = make(chan struct{})
	_ = b.control.EnableFullDuplex() // HTTP/1.1 connections support it
	return true
}

// awaitBody waits, after an answer during which the body was sent on, until the body is read to its end or fails: net/http would interrupt the
// read and close the connection, and the end of the answer could be lost.
func (q *request) awaitBody() {
	if q.reader == nil || q.reader.done == nil {
		return
	}
	_ = q.reader.control.Flush() // fails on a broken connection, whose reads fail as well
	<-q.reader.done
}

// releaseBodies releases what is held for the bodies of the request and of its answers; it is called when the request's handler returns.
func (n *Node) releaseBodies(q *request) {
	n.answerBytes.release(q.heldAnswers)
	if q.reader == nil {
		return
	}
	q.reader.close()
	n.bodyBytes.release(q.heldBytes)
}

// deferBody leaves the body of a request from another node unread until the gate has passed the request, if the sender waits for that. While
// there are suspects the body is read at once, since it tells them apart.
func (q *request) deferBody(r *http.Request) bool {
	if r.Header.Get("Expect") != expectContinue || q.Stages.Suspected() || q.reader.n.poison.AnySuspects() {
		return false
	}
	q.stream, q.streamLength, q.unread = q.reader, r.ContentLength, true
	return true
}

// readDeferredBody reads the start of a body that was left unread. If that fails, the request can't have run.
func (q *request) readDeferredBody() *answer {
	if !q.unread {
		return nil
	}
	q.unread, q.stream = false, nil
	err := q.readHead(q.streamLength)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errBodyBytes):
		return notRunAnswer(wire.ReasonBodyBytes)
	default:
		return notRunAnswer(wire.ReasonBodyLost)
	}
}

// readHead buffers a short body and leaves a long one as a stream; length is -1 if unknown. The error is a *bodyError.
func (q *request) readHead(length int64) error {
	n := q.reader.n
	held := length
	if length < 0 || length > maxBufferedBody {
		held = maxBufferedBody + 1 + streamBufferBytes
	}
	if !n.bodyBytes.take(held) {
		n.metrics.count("bodies_refused_total")
		n.callLog.Info("request body refused", "request", q.id, "route", q.Route, "length", length, "held", n.bodyBytes.held.Load())
		return &bodyError{http.StatusServiceUnavailable, errBodyBytes}
	}
	q.heldBytes = held
	head, err := io.ReadAll(io.LimitReader(q.reader, maxBufferedBody+1))
	if err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, os.ErrDeadlineExceeded) {
			status = http.StatusRequestTimeout
		}
		return &bodyError{status, err}
	}
	q.reader.pause()
	if len(head) <= maxBufferedBody {
		q.body = head
		return nil
	}
	q.streamHead, q.streamLength = head, length
	q.stream = io.MultiReader(bytes.NewReader(head), q.reader)
	return nil
}

// setStream sets the streamed body of an exchange, if the request has one.
func (q *request) setStream(req *httpconn.Request) {
	if q.stream != nil {
		req.Stream, req.StreamLength, req.StreamBegins = q.stream, q.streamLength, func() {
			q.bodyMoved.Store(true)
			q.sending.Store(true)
		}
	}
}

// continueWait returns how long to wait until another node asks for the request's body; 0: it is sent at once.
func (n *Node) continueWait(q *request) time.Duration {
	if q.Stages.Suspected() || n.off[settings.UploadContinue] {
		return 0
	}
	return continueWait
}

// mayHaveMoved reports whether some of a body that can be sent only once may have been sent.
func (q *request) mayHaveMoved() bool { return q.stream != nil && q.bodyMoved.Load() }

// neverMoved reports whether nothing of a body that can be sent only once was sent: without it the request can't have run.
func (q *request) neverMoved() bool { return q.stream != nil && !q.bodyMoved.Load() }
