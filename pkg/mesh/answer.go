package mesh

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rockspoke/rockspoke/pkg/httpconn"
	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// answer is the result of one attempt to serve a request.
type answer struct {
	outcome  wire.Outcome
	reason   wire.Reason
	arrived  bool // the request reached, or may have reached, a backend server
	canceled bool // the caller has disconnected, or the deadline has passed
	broken   bool // the connection to the backend server broke before its answer was complete
	// notListening reports that the request hasn't run since the backend server of the node isn't listening.
	notListening bool
	// connRefused reports that the backend server's address refused the connection. The server isn't listening unless an
	// older run is still in progress.
	connRefused     bool
	crashedLifetime string               // lifetime of the backend server that crashed while it ran the request; empty: none did
	crashSuccess    poison.RecentSuccess // scopes in which the request had succeeded recently at that server
	// retryAfter is the delay before the caller should retry; 0: the default.
	retryAfter time.Duration
	// overloaded reports that admission refused the request; an overload may take a while to pass.
	overloaded bool
	status     int
	header     http.Header
	body       []byte
	stream     io.ReadCloser // rest of a long body
	length     int64         // of the whole body in bytes; -1: unknown
}

// serverFailed reports whether a server ran the request and answered with a failure that another server may not give.
func (a *answer) serverFailed() bool {
	return a.outcome == wire.Ran && a.status == http.StatusInternalServerError && a.stream == nil
}

// notRunAnswer returns the answer to a request that certainly hasn't run.
func notRunAnswer(reason wire.Reason) *answer { return &answer{outcome: wire.NotRun, reason: reason} }

// unknownAnswer returns the answer to a request that may have run.
func unknownAnswer(reason wire.Reason) *answer {
	return &answer{outcome: wire.Unknown, reason: reason, arrived: true}
}

// bufferBody reads a short body of an answer to q into memory, so that a truncated one is detected before any of it is passed on. Of a
// long body it reads the first part and keeps the rest as a stream, and of any while the node holds too many bytes of answers nothing. The
// error is an *httpconn.Error.
func (n *Node) bufferBody(q *request, a *answer, res *httpconn.Response) error {
	a.length = res.ContentLength
	if !n.holdAnswer(q, a.length) {
		a.stream = res.Body
		return nil
	}
	if a.length >= 0 && a.length <= maxBufferedBody {
		return a.bufferFixedBody(res)
	}
	head, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedBody+1))
	if err != nil {
		return err
	}
	if len(head) <= maxBufferedBody {
		a.body = head
		return res.Body.Close()
	}
	a.body, a.stream = head, res.Body
	return nil
}

// holdAnswer counts the bytes that are buffered of an answer to q with a body of the length, -1 if unknown; it returns false if the node holds too
// many.
func (n *Node) holdAnswer(q *request, length int64) bool {
	held := length
	if length < 0 || length > maxBufferedBody {
		held = maxBufferedBody + 1
	}
	if !n.answerBytes.take(held) {
		n.metrics.count("answers_unbuffered_total")
		return false
	}
	q.heldAnswers += held
	return true
}

// bufferFixedBody reads a body of a known, short length into memory. The error is an *httpconn.Error.
func (a *answer) bufferFixedBody(res *httpconn.Response) error {
	a.body = make([]byte, a.length)
	n, err := 0, error(nil)
	for err == nil && n < len(a.body) {
		var k int
		k, err = res.Body.Read(a.body[n:])
		n += k
	}
	if err == nil {
		_, err = res.Body.Read(make([]byte, 1)) // the end gives the connection back to the pool
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	a.body = a.body[:n] // the answer to a HEAD request has none
	return res.Body.Close()
}

// write writes the answer to w; the error says why a streamed body wasn't written to its end.
func (a *answer) write(w http.ResponseWriter) error {
	a.setHeader(w.Header())
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	if a.stream == nil {
		return nil
	}
	defer a.stream.Close()
	if err == nil {
		_, err = io.Copy(w, a.stream)
	}
	return err
}

// setHeader copies the answer's headers and length into h.
func (a *answer) setHeader(h http.Header) {
	for k, v := range a.header {
		h[k] = v
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // net/http would guess one
	}
	if a.stream == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	} else if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
}

// isCanceled reports whether an exchange failed because its caller left or its deadline passed.
func isCanceled(err error) bool {
	var e *httpconn.Error
	return errors.As(err, &e) && e.Kind == httpconn.Canceled
}

// isBodyBroken reports whether an exchange failed because the body of the request stalled or broke off.
func isBodyBroken(err error) bool {
	var e *httpconn.Error
	return errors.As(err, &e) && e.Kind == httpconn.BrokenBody
}

// isUnsent reports whether an exchange failed before anything was sent.
func isUnsent(err error) bool {
	var e *httpconn.Error
	return errors.As(err, &e) && e.Kind == httpconn.NotConnected
}

// formatRetryAfter returns the value of a Retry-After header: seconds with three decimals.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// drainBody reads the rest of a short body and closes it, so that its connection can be reused.
func drainBody(res *httpconn.Response) error {
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxBufferedBody)); err != nil {
		return err
	}
	return res.Body.Close()
}
