package mesh

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rockspoke/rockspoke/pkg/httpconn"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// answer is what became of one send.
type answer struct {
	outcome  wire.Outcome
	reason   wire.Reason
	arrived  bool // the request reached, or may have reached, a backend server
	canceled bool // the caller has gone, or its time is up
	broken   bool // the connection to the backend server broke before its answer was whole
	// gone tells that it hasn't run since nobody is there beside the node that was asked.
	notListening bool
	// unreachable tells that the backend server's address refused a connection: where no older run goes on, nobody is there.
	connRefused     bool
	crashedLifetime string // the life of the backend server that ended under it; empty: none did
	// retryAfter is when the caller should try again; 0: as usual.
	retryAfter time.Duration
	// overloaded tells that admission refused the request, which may take a while to pass.
	overloaded bool
	status     int
	header     http.Header
	body       []byte
	stream     io.ReadCloser // the rest of a long body
	length     int64         // of the whole body; -1: not known
}

// failed tells whether a server ran the request and answered with a failure that another one may not give.
func (a *answer) serverFailed() bool {
	return a.outcome == wire.Ran && a.status == http.StatusInternalServerError && a.stream == nil
}

// refused is the answer to a request that certainly didn't run.
func notRunAnswer(reason wire.Reason) *answer { return &answer{outcome: wire.NotRun, reason: reason} }

// lost is the answer to a request that may have run.
func unknownAnswer(reason wire.Reason) *answer {
	return &answer{outcome: wire.Unknown, reason: reason, arrived: true}
}

// readWhole takes the body of an answer into memory if it is short, so that one that breaks off is found
// before any of it is passed on. The error is an *httpconn.Error.
func (a *answer) bufferBody(res *httpconn.Response) error {
	a.length = res.Length
	head, err := io.ReadAll(io.LimitReader(res.Body, bufferedBody+1))
	if err != nil {
		return err
	}
	if len(head) <= bufferedBody {
		a.body = head
		return res.Body.Close()
	}
	a.body, a.stream = head, res.Body
	return nil
}

// write passes an answer on; a body that breaks off ends the connection, so that it doesn't look whole.
func (a *answer) write(w http.ResponseWriter) {
	a.setHeader(w.Header())
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	if a.stream == nil {
		return
	}
	defer a.stream.Close()
	if err == nil {
		_, err = io.Copy(w, a.stream)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // net/http closes the connection without an end of the body
	}
}

// setHeader puts the answer's headers and length into h.
func (a *answer) setHeader(h http.Header) {
	for k, v := range a.header {
		h[k] = v
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // the library would guess one
	}
	if a.stream == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	} else if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
}

// ended tells whether an exchange failed because its caller left or its time was up.
func isCanceled(err error) bool {
	var e *httpconn.Error
	return errors.As(err, &e) && e.Kind == httpconn.Canceled
}

// unsent tells whether an exchange failed before anything was sent.
func isUnsent(err error) bool {
	var e *httpconn.Error
	return errors.As(err, &e) && e.Kind == httpconn.NotConnected
}

// formatRetryAfter writes a time in seconds, with fractions.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// drainBody reads a body to its end, so that its connection can be used again.
func drainBody(res *httpconn.Response) error {
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, bufferedBody)); err != nil {
		return err
	}
	return res.Body.Close()
}
