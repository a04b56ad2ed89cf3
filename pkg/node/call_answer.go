package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// maxBufferedAnswer is the size in bytes up to which an answer is buffered; a longer one is streamed.
const maxBufferedAnswer = 64 << 10

// answer is the result of one attempt.
type answer struct {
	meta       wire.Answer
	status     int // 0 if no backend server answered
	header     http.Header
	body       []byte
	rest       io.ReadCloser // what follows body, or nil
	fromDaemon bool          // false if the attempt never arrived or its answer was lost
	cause      error         // why no answer of a daemon arrived, nil if one did
}

// notRunAnswer returns an answer for a call that certainly didn't run, with the time after which the client may retry.
func notRunAnswer(reason wire.Reason, after time.Duration) *answer {
	return &answer{meta: wire.Answer{Outcome: wire.NotRun, Reason: reason, RetryAfterMS: after.Milliseconds()}}
}

// unknownAnswer returns an answer for a call that may have run.
func unknownAnswer(reason wire.Reason) *answer {
	return &answer{meta: wire.Answer{Outcome: wire.Unknown, Reason: reason}}
}

// withCause sets why no answer arrived and returns the answer.
func (a *answer) withCause(err error) *answer {
	a.cause = err
	return a
}

// readBody reads the start of the body, and closes it if that is all; otherwise rest streams what follows.
func (a *answer) readBody(body io.ReadCloser) error {
	buf := make([]byte, 0, 512)
	w := bytes.NewBuffer(buf)
	_, err := io.CopyN(w, body, maxBufferedAnswer)
	a.body = w.Bytes()
	if errors.Is(err, io.EOF) {
		return body.Close()
	}
	if err != nil {
		_ = body.Close() // the read error matters more
		return err
	}
	a.rest = body
	return nil
}

// discardRest closes a streamed answer that nobody will read.
func (a *answer) discardRest() {
	if a.rest != nil {
		_ = a.rest.Close() // nobody reads it, so its error doesn't matter
		a.rest = nil
	}
}

// toRecorded returns the answer in the form that a home stores, or nil if it is streamed or no backend server gave it.
func (a *answer) toRecorded() *onceonly.RecordedAnswer {
	if a.rest != nil || a.status == 0 {
		return nil
	}
	return &onceonly.RecordedAnswer{Status: a.status, Header: a.header, Body: a.body}
}

// answerFromRecord returns the answer that a home stored, or status 409 if it stored none.
func answerFromRecord(rec *onceonly.RecordedAnswer) *answer {
	if rec == nil || !rec.Complete {
		// The work ran, but its answer isn't stored: report that instead of a partial answer.
		return &answer{meta: wire.Answer{Outcome: wire.Ran}, status: http.StatusConflict, header: http.Header{}}
	}
	return &answer{meta: wire.Answer{Outcome: wire.Ran}, status: rec.Status, header: rec.Header.Clone(), body: rec.Body}
}

// httpStatus returns the HTTP status of an answer, derived from its reason and outcome if no backend server gave it.
func httpStatus(a *answer) int {
	switch {
	case a.status != 0:
		return a.status
	case a.meta.Reason == wire.ReasonNoRoute:
		return http.StatusNotFound
	case a.meta.Reason == wire.ReasonBadRequest:
		return http.StatusBadRequest
	case a.meta.Reason == wire.ReasonKeyMismatch:
		return http.StatusUnprocessableEntity
	case a.meta.Reason == wire.ReasonRetryBudget:
		return http.StatusTooManyRequests
	case a.meta.Outcome == wire.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// writeTo sends the answer. If a streamed body breaks off, it aborts the connection, so that the client can't take the
// answer for complete.
func (a *answer) writeTo(w http.ResponseWriter) {
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if a.rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(httpStatus(a))
	_, err := w.Write(a.body)
	if a.rest == nil {
		return
	}
	defer a.discardRest()
	if err == nil {
		_, err = io.Copy(w, a.rest)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Headers that tell a caller when to retry: the standard one in whole seconds, and Rockspoke's in milliseconds.
const (
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMS = "Rockspoke-Retry-After-Ms"
)

// writeToCaller sends the answer to a caller or a backend server, with the outcome in place of the internal header.
func (n *Node) writeToCaller(w http.ResponseWriter, a *answer) {
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(a.meta.Outcome))
	if a.meta.Reason != wire.ReasonNone {
		h.Set(wire.HeaderReason, string(a.meta.Reason))
	}
	if a.status == 0 && a.meta.Reason != wire.ReasonBadRequest && a.meta.Reason != wire.ReasonNoRoute {
		after := time.Duration(a.meta.RetryAfterMS) * time.Millisecond
		if after == 0 {
			after = n.jitter(defaultRetryAfter)
		}
		h.Set(headerRetryAfterMS, strconv.FormatInt(after.Milliseconds(), 10))
		h.Set(headerRetryAfter, strconv.Itoa(int((after+time.Second-1)/time.Second)))
	}
	a.writeTo(w)
}

// defaultRetryAfter is the middle of the jittered time after which a refused caller may retry.
const defaultRetryAfter = 500 * time.Millisecond
