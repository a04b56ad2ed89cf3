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

// maxBufferedAnswer is the size in bytes up to which an answer is held whole; a longer one is streamed on.
const maxBufferedAnswer = 64 << 10

// answer is what became of one attempt.
type answer struct {
	meta       wire.Answer
	status     int // 0 where no backend server answered
	header     http.Header
	body       []byte
	rest       io.ReadCloser // what follows body, or nil
	fromDaemon bool          // a daemon sent it; without, the attempt never arrived or its answer was lost
}

func notRunAnswer(reason wire.Reason, after time.Duration) *answer {
	return &answer{meta: wire.Answer{Outcome: wire.NotRun, Reason: reason, AfterMS: after.Milliseconds()}}
}

func unknownAnswer(reason wire.Reason) *answer {
	return &answer{meta: wire.Answer{Outcome: wire.Unknown, Reason: reason}}
}

// readBody takes in the answer's body, whole if it is short.
func (a *answer) readBody(body io.ReadCloser) error {
	buf := make([]byte, 0, 512)
	w := bytes.NewBuffer(buf)
	_, err := io.CopyN(w, body, maxBufferedAnswer)
	a.body = w.Bytes()
	if errors.Is(err, io.EOF) {
		return body.Close()
	}
	if err != nil {
		_ = body.Close() // the reading error says more
		return err
	}
	a.rest = body
	return nil
}

// discardRest releases what is left of a streamed answer that nobody will read.
func (a *answer) discardRest() {
	if a.rest != nil {
		_ = a.rest.Close() // it was not wanted
		a.rest = nil
	}
}

// toRecorded is the form in which a home keeps the answer, or nil if it is too long.
func (a *answer) toRecorded() *onceonly.Recorded {
	if a.rest != nil || a.status == 0 {
		return nil
	}
	return &onceonly.Recorded{Status: a.status, Header: a.header, Body: a.body}
}

// answerFromRecord makes an answer out of a home's record.
func answerFromRecord(rec *onceonly.Recorded) *answer {
	if rec == nil || !rec.Kept {
		// The work ran, and its answer is no longer here: say so rather than send half of it.
		return &answer{meta: wire.Answer{Outcome: wire.Ran}, status: http.StatusConflict, header: http.Header{}}
	}
	return &answer{meta: wire.Answer{Outcome: wire.Ran}, status: rec.Status, header: rec.Header.Clone(), body: rec.Body}
}

// httpStatus gives the status of an answer that no backend server gave.
func httpStatus(a *answer) int {
	switch {
	case a.status != 0:
		return a.status
	case a.meta.Reason == wire.ReasonNoRoute:
		return http.StatusNotFound
	case a.meta.Reason == wire.ReasonBadRequest:
		return http.StatusBadRequest
	case a.meta.Reason == wire.ReasonMismatch:
		return http.StatusUnprocessableEntity
	case a.meta.Reason == wire.ReasonRetries:
		return http.StatusTooManyRequests
	case a.meta.Outcome == wire.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// writeTo sends the answer. A body that breaks off breaks the connection, so that it is never taken for whole.
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

// Headers that tell a caller when to come back: the standard one in whole seconds, and ours in milliseconds.
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
		after := time.Duration(a.meta.AfterMS) * time.Millisecond
		if after == 0 {
			after = n.jitter(defaultRetryAfter)
		}
		h.Set(headerRetryAfterMS, strconv.FormatInt(after.Milliseconds(), 10))
		h.Set(headerRetryAfter, strconv.Itoa(int((after+time.Second-1)/time.Second)))
	}
	a.writeTo(w)
}

// defaultRetryAfter is the middle of the jittered time after which a refused caller is asked to come back.
const defaultRetryAfter = 500 * time.Millisecond
